package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["rolling-repair"] = rollingRepair }

// read reads the manifest at one control instance and returns its version, 0 for none.
func (l *lab) read(m *machine) uint64 {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.address(offControl) + "/Config.Read")
	if err != nil {
		l.logf("operator at %s: read: %v", m.name, err)
		return 0
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	var v struct {
		Version uint64 `json:"version"`
	}
	if resp.StatusCode == 200 {
		_ = json.Unmarshal(b, &v)
	}
	l.logf("operator at %s: read: %d, version %d %q", m.name, resp.StatusCode, v.Version, firstLine(b[:min(len(b), 100)]))
	return v.Version
}

// leader returns the control instance that leads, by the logs of the processes.
func (l *lab) leader(controls []*machine) *machine {
	term, ip := 0, ""
	for _, m := range controls {
		b, _ := os.ReadFile(filepath.Join(l.folder, m.name+".log"))
		for _, line := range strings.Split(string(b), "\n") {
			if !strings.Contains(line, "Event=group.leader") {
				continue
			}
			t, who := 0, ""
			for _, w := range strings.Fields(line) {
				if v, ok := strings.CutPrefix(w, "Term="); ok {
					t, _ = strconv.Atoi(v)
				}
				if v, ok := strings.CutPrefix(w, "Leader="); ok {
					who = strings.Trim(v, `"`)
				}
			}
			if t >= term && who != "" {
				term, ip = t, who
			}
		}
	}
	for _, m := range controls {
		if m.ip == ip {
			return m
		}
	}
	return nil
}

// judge reads the manifest until it is the acknowledged one, at most for the recovery.
func (l *lab) judgeRead(controls []*machine, version uint64) {
	back := time.Now()
	for i := 0; time.Since(back) < recoveryTime+10*time.Second; i++ {
		if v := l.read(controls[i%len(controls)]); v == version {
			l.logf("version %d is read %.3f s after all are back", v, time.Since(back).Seconds())
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	l.fail("LOST", "version %d was acknowledged, and no control instance returns it %v after all machines are back", version, (recoveryTime + 10*time.Second))
}

// removalGap is the time between two removals. After twice this time a removed machine
// doesn't count any more, by catch_up_s.
const removalGap = 2500 * time.Millisecond

func repairSetup(l *lab) (*fleet, error) {
	return l.startFleet([]string{"reports", "archive"}, []route{{"/approve/", "unsafe", "reports", 5}, {"/lookup/", "safe", "archive", 5}})
}

func (l *lab) successor(f *fleet) (*machine, error) {
	m := l.addMachine("control", "")
	m.seeds = f.controls[:3]
	if err := m.write(false); err != nil {
		return nil, err
	}
	return m, m.start()
}

var repairRoutes = []route{{"/approve/", "unsafe", "reports", 5}, {"/lookup/", "safe", "archive", 5}, {"/more/", "safe", "archive", 5}}

// rollingRepair: three machines of the core are replaced in order, the new ones first.
// The old ones get SIGTERM one after the other, the leading one as the second.
func rollingRepair(l *lab) error {
	f, err := repairSetup(l)
	if err != nil {
		return err
	}
	var next []*machine
	for range 3 {
		m, err := l.successor(f)
		if err != nil {
			return err
		}
		next = append(next, m)
		time.Sleep(time.Second)
	}
	time.Sleep(catchUpTime + 4*time.Second)
	leading := l.leader(f.controls)
	if leading == nil {
		return fmt.Errorf("no leader")
	}
	var others []*machine
	for _, m := range f.controls {
		if m != leading {
			others = append(others, m)
		}
	}
	leave := []*machine{others[0], leading, others[1]}
	rest := append(others[2:], next...)
	begin := time.Now()
	version := uint64(1)
	for i, m := range leave {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * removalGap)))
		if !l.trouble {
			continue
		}
		if i == len(leave)-1 {
			if s := l.order(rest, version, manifest(version+1, []string{"reports", "archive"}, repairRoutes), 4*time.Second); s == 200 {
				version++
			}
		}
		at := time.Now()
		m.end(syscall.SIGTERM)
		l.logf("%s is removed for good, its process took %.3f s to end", m.name, time.Since(at).Seconds())
	}
	l.judgeRead(rest, version)
	return nil
}
