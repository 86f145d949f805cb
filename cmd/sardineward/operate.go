package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/runner"
)

// callTimeout exceeds the 30 seconds that a host gives a submission.
const callTimeout = 35 * time.Second

// adminClient calls the administration address of a host.
type adminClient struct {
	admin string
	key   string
}

func (o *adminClient) addFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("admin", "Administration address of any host.").Default("127.0.0.1:8082").Envar("SARDINEWARD_ADMIN").StringVar(&o.admin)
	cmd.Flag("key", "Administration key.").Envar("SARDINEWARD_ADMIN_KEY").StringVar(&o.key)
}

// call sends in as JSON, decodes the answer into out, and returns the status.
func (o *adminClient) call(method, path string, in, out any) (int, error) {
	const maxAnswerBytes = 64 << 20
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.admin+path, &body)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+o.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	src, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(src, out); err != nil {
		return resp.StatusCode, fmt.Errorf("host answered status %d: %s", resp.StatusCode, bytes.TrimSpace(src))
	}
	return resp.StatusCode, nil
}

func addOperate(app *kingpin.Application) {
	addSubmit(app)
	addStatus(app)
	addDrain(app)
}

func addSubmit(app *kingpin.Application) {
	o := new(adminClient)
	cmd := app.Command("submit", "Show what a configuration changes, and submit it with --yes.")
	o.addFlags(cmd)
	file := cmd.Arg("file", "Configuration.").Required().String()
	base := cmd.Flag("base", "Revision that you reviewed; 0 means that there is none yet.").Required().Int64()
	yes := cmd.Flag("yes", "Submit the configuration; without this flag only the difference is shown.").Bool()
	by := cmd.Flag("by", "Name of the submitter.").Default(os.Getenv("USER")).String()
	id := cmd.Flag("id", "Id of the submission, for a retry; random when absent.").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		src, err := os.ReadFile(*file)
		if err != nil {
			return err
		}
		cfg, err := builder.Parse(*file, src)
		if err != nil {
			return withExitCode(err)
		}
		if err := o.printDifference(cfg); err != nil {
			return err
		}
		if !*yes {
			fmt.Println("nothing submitted; add --yes to submit")
			return nil
		}
		if *id == "" {
			*id = rand.Text()
		}
		return o.submit(runner.SubmitRequest{Base: *base, ID: *id, By: *by, Configuration: string(src)})
	})
}

func (o *adminClient) submit(in runner.SubmitRequest) error {
	var out runner.SubmitResponse
	status, err := o.call(http.MethodPost, "/admin/v1/submit", in, &out)
	switch {
	case err != nil:
		return fmt.Errorf("submission %s is not settled, submit again with --id %s: %w", in.ID, in.ID, err)
	case status == http.StatusConflict:
		return &exitError{exitConflict, errors.New(out.Error)}
	case status == http.StatusServiceUnavailable:
		return fmt.Errorf("submission %s is not settled, submit again with --id %s: %s", in.ID, in.ID, out.Error)
	case status != http.StatusOK:
		return errors.New(out.Error)
	}
	fmt.Printf("revision %d\n", out.Revision)
	return nil
}

// printDifference prints the lines that a configuration removes from and adds to the one in
// force.
func (o *adminClient) printDifference(cfg *builder.Configuration) error {
	var now json.RawMessage
	status, err := o.call(http.MethodGet, "/admin/v1/configuration", nil, &now)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		now = nil
	}
	next, err := builder.Canonical(cfg)
	if err != nil {
		return err
	}
	removed, added := lineDifference(string(now), string(next))
	for _, l := range removed {
		fmt.Println("- " + l)
	}
	for _, l := range added {
		fmt.Println("+ " + l)
	}
	fmt.Printf("%d lines removed, %d added\n", len(removed), len(added))
	return nil
}

// lineDifference compares two texts as multisets of lines. In a text sorted by name this shows
// what changed, without the lines that only moved.
func lineDifference(a, b string) (removed, added []string) {
	count := make(map[string]int)
	for _, l := range strings.Split(strings.TrimSpace(a), "\n") {
		count[l]++
	}
	for _, l := range strings.Split(strings.TrimSpace(b), "\n") {
		if count[l] > 0 {
			count[l]--
			continue
		}
		added = append(added, l)
	}
	for _, l := range strings.Split(strings.TrimSpace(a), "\n") {
		if count[l] > 0 {
			count[l]--
			removed = append(removed, l)
		}
	}
	return removed, added
}

func addStatus(app *kingpin.Application) {
	o := new(adminClient)
	cmd := app.Command("status", "Show hosts, revisions, upstreams and queues.")
	o.addFlags(cmd)
	raw := cmd.Flag("json", "Print JSON.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		var st runner.Status
		if _, err := o.call(http.MethodGet, "/admin/v1/status", nil, &st); err != nil {
			return err
		}
		if *raw {
			enc := json.NewEncoder(os.Stdout)
			enc.SetIndent("", "  ")
			return enc.Encode(st)
		}
		return printStatus(os.Stdout, st)
	})
}

func printStatus(w io.Writer, st runner.Status) error {
	b := new(bytes.Buffer)
	fmt.Fprintf(b, "asked %s; lowest revision in force is %d, on %s\n\n", st.Host, st.LowestRevision, st.LowestHost)
	t := tabwriter.NewWriter(b, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "HOST\tDATA CENTRE\tSTATE\tREVISION\tVIOLATIONS")
	for _, h := range st.Hosts {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\n", h.Host, h.DataCentre, h.State, h.Revision, h.Violations)
	}
	fmt.Fprintln(t, "\nUPSTREAM\tDATA CENTRE\tSTATE\tIN FLIGHT\tSEQUENCES\tREPORT AGE")
	for _, u := range st.Upstreams {
		age := "none"
		if u.ReportAgeMs >= 0 {
			age = fmt.Sprintf("%d ms", u.ReportAgeMs)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.0f\t%s\n", u.Upstream, u.DataCentre, u.State, u.InFlight, u.Sequences, age)
	}
	fmt.Fprintln(t, "\nPIPELINE\tBOUND DECLARED\tBOUND UP\tWAITING HERE")
	for name, b := range st.Bounds {
		fmt.Fprintf(t, "%s\t%.0f tokens/s\t%.0f tokens/s\t%d\n", name, b.Declared, b.Up, st.Waiting[name])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := b.WriteTo(w)
	return err
}

func addDrain(app *kingpin.Application) {
	o := new(adminClient)
	cmd := app.Command("drain", "Keep new work off an upstream until it is restarted. A host is drained by SIGTERM.")
	o.addFlags(cmd)
	name := cmd.Arg("upstream", "Name of the upstream.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		var out runner.SubmitResponse
		status, err := o.call(http.MethodPost, "/admin/v1/drain/"+*name, nil, &out)
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return errors.New(out.Error)
		}
		fmt.Println("leaving: " + *name)
		return nil
	})
}
