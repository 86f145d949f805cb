package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestBuildLine guards against an earlier program that runs in place of one whose build failed.
func TestBuildLine(t *testing.T) {
	t.Run("revision can't be read", func(t *testing.T) {
		is := is.New(t)
		dir := t.TempDir()
		out, err := runBuildLine(t, dir, "git", "fatal: detected dubious ownership in repository")
		t.Log(out)
		is.NoErr(err)
		is.True(buildID(filepath.Join(dir, "sardineward")) != "unknown")
	})
	t.Run("build fails", func(t *testing.T) {
		is := is.New(t)
		dir := t.TempDir()
		program := filepath.Join(dir, "sardineward")
		is.NoErr(os.WriteFile(program, []byte("an earlier program"), 0o600))
		_, err := runBuildLine(t, dir, "go", "compile: no memory")
		is.True(err != nil)
		_, err = os.Stat(program)
		is.True(os.IsNotExist(err))
	})
}

// runBuildLine runs the build line of the deploy file in the root of the repository, with its output in dir, the default
// for version control stamps and a command that only fails, with a message.
func runBuildLine(t *testing.T, dir, command, message string) (string, error) {
	t.Helper()
	is := is.New(t)
	root := filepath.Join("..", "..")
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	is.NoErr(err)
	_, rest, _ := strings.Cut(string(deploy), `build = "`)
	line, _, ok := strings.Cut(rest, "\"\n")
	is.True(ok)
	flags, err := exec.CommandContext(t.Context(), "go", "env", "GOFLAGS").Output()
	is.NoErr(err)
	stubs := t.TempDir()
	stub := "#!/bin/sh\necho '" + message + "' >&2\nexit 128\n"
	is.NoErr(os.WriteFile(filepath.Join(stubs, command), []byte(stub), 0o700)) //nolint:gosec // it is run
	cmd := exec.CommandContext(t.Context(), "sh", "-c", strings.ReplaceAll(line, "target/", dir+"/"))
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "PATH="+stubs+":"+os.Getenv("PATH"), "GOFLAGS="+strings.TrimSpace(string(flags))+" -buildvcs=auto")
	out, err := cmd.CombinedOutput()
	return string(out), err
}
