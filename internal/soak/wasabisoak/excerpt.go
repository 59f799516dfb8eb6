package wasabisoak

import (
	"bufio"
	"os"
	"strings"
	"time"

	"github.com/wasabistand/wasabistand/internal/soak/wasabioracle"
)

// Bounds of the excerpts of logs in a report.
const (
	maxExcerpts   = 8
	excerptLines  = 6
	maxLineLength = 400
)

// excerpts returns, for the first violations of different machines, the last lines on
// the machine's session before the violation and those on its request.
func (r *run) excerpts(list []wasabioracle.Violation) (lines []string) {
	seen := map[string]bool{}
	for _, v := range list {
		if seen[v.Machine] || len(seen) == maxExcerpts {
			continue
		}
		seen[v.Machine] = true
		request, _, _ := strings.Cut(v.Detail, " ")
		lines = append(lines, v.Machine+" before "+r.started.Add(v.At).UTC().Format(time.RFC3339Nano))
		lines = append(lines, excerpt(r.fleet.LogPath(v.Machine), r.started.Add(v.At), request)...)
	}
	return lines
}

// marks are what the Go runtime writes when a process fails or races.
var marks = []string{"WARNING: DATA RACE", "panic: ", "fatal error: "}

// runtimeFailures returns the lines with marks in the logs of all machines. A process
// that is killed has no exit code that tells of a race.
func (r *run) runtimeFailures() (lines []string) {
	for _, m := range r.all() {
		b, err := os.ReadFile(r.fleet.LogPath(m.Name))
		if err != nil {
			// A machine that never started has no log.
			continue
		}
		for l := range strings.Lines(string(b)) {
			for _, mark := range marks {
				if strings.HasPrefix(l, mark) {
					lines = append(lines, m.Name+": "+strings.TrimSpace(l))
				}
			}
		}
	}
	return lines
}

// excerpt returns the lines of a log that have the request's id, and the last lines
// on sessions before the time.
func excerpt(path string, before time.Time, request string) (lines []string) {
	f, err := os.Open(path)
	if err != nil {
		return []string{"  " + err.Error()}
	}
	defer func() { _ = f.Close() }()
	var ofRequest []string
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		l := scanner.Text()
		text := "  " + l[:min(len(l), maxLineLength)]
		if request != "" && strings.Contains(l, "RequestID="+request+" ") {
			ofRequest = append(ofRequest, text)
			continue
		}
		if !strings.Contains(strings.ToLower(l), "session") || strings.Contains(l, "RequestID=") {
			continue
		}
		stamp, _, _ := strings.Cut(strings.TrimPrefix(l, "Time="), " ")
		if t, err := time.Parse(time.RFC3339Nano, stamp); err != nil || t.After(before) {
			continue
		}
		lines = append(lines, text)
		lines = lines[max(0, len(lines)-excerptLines):]
	}
	if err := scanner.Err(); err != nil {
		lines = append(lines, "  "+err.Error())
	}
	return append(lines, ofRequest...)
}
