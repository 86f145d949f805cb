package main

import (
	"debug/elf"
	"os"
	"runtime/debug"
	"strings"
)

const (
	// buildIDSection is the section of an executable with its Go build id.
	buildIDSection = ".note.go.buildid"
	// noteHeaderBytes is the size of what precedes the id in that section: three lengths and the padded name "Go".
	noteHeaderBytes = 16
)

// executable returns the path of the running program; empty if it is not known.
func executable() string {
	path, _ := os.Executable()
	return path
}

// version returns what identifies the program in file: the module's version, the revision of its source where the build
// recorded one, "modified" if that was not all committed, the version of Go, and the build id.
func version(file string) string {
	out := []string{"unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		out[0] = info.Main.Version
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				out = append(out, s.Value)
			case s.Key == "vcs.modified" && s.Value == "true":
				out = append(out, "modified")
			}
		}
		out = append(out, info.GoVersion)
	}
	return strings.Join(append(out, "build", buildID(file)), " ")
}

// buildID returns the last part of the Go build id of an executable, a hash of its content, or "unknown".
func buildID(file string) string {
	f, err := elf.Open(file)
	if err != nil {
		return "unknown"
	}
	defer func() { _ = f.Close() }()
	s := f.Section(buildIDSection)
	if s == nil {
		return "unknown"
	}
	note, err := s.Data()
	if err != nil || len(note) < noteHeaderBytes {
		return "unknown"
	}
	id := strings.TrimRight(string(note[noteHeaderBytes:]), "\x00")
	return id[strings.LastIndex(id, "/")+1:]
}
