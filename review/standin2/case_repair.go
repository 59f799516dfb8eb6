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

func init() {
	cases["planned-repair"] = plannedRepair
	cases["leader-repair"] = leaderRepair
}

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

// wipe kills control instances at the same moment, empties their disks and starts them
// again after down.
func (l *lab) wipe(list []*machine, down time.Duration) error {
	for _, m := range list {
		m.expectEnd()
		m.signal(syscall.SIGKILL)
	}
	for _, m := range list {
		m.end(syscall.SIGKILL)
		if err := os.RemoveAll(m.dataFolder()); err != nil {
			return err
		}
		l.logf("%s has lost its disk", m.name)
	}
	time.Sleep(down)
	for _, m := range list {
		if err := m.write(false); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
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

// pause returns a time in milliseconds from the environment, or the usual one.
func pause(name string, usual int) time.Duration {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		usual = n
	}
	return time.Duration(usual) * time.Millisecond
}

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

// plannedRepair: a machine of the core is replaced in order, the new one first. Then
// the disks of two others are lost.
func plannedRepair(l *lab) error {
	f, err := repairSetup(l)
	if err != nil {
		return err
	}
	old := l.leader(f.controls)
	if old == nil {
		return fmt.Errorf("no leader")
	}
	next, err := l.successor(f)
	if err != nil {
		return err
	}
	time.Sleep(catchUpTime + 4*time.Second)
	begin := time.Now()
	old.end(syscall.SIGTERM)
	l.logf("%s is removed for good, its process took %.3f s to end", old.name, time.Since(begin).Seconds())
	rest := []*machine{next}
	for _, m := range f.controls {
		if m != old {
			rest = append(rest, m)
		}
	}
	time.Sleep(pause("PAUSE_MS", 1500))
	if s := l.order(rest[1:], 1, manifest(2, []string{"reports", "archive"}, repairRoutes), 4*time.Second); s != 200 {
		return fmt.Errorf("the change is not acknowledged: %d", s)
	}
	if l.trouble {
		if err := l.wipe(rest[1:3], 800*time.Millisecond); err != nil {
			return err
		}
	}
	l.judgeRead(rest, 2)
	return nil
}

// leaderRepair: the leading machine of the core is lost for good and replaced. Once the
// new one has had catch_up_s, the disks of two others are lost.
func leaderRepair(l *lab) error {
	f, err := repairSetup(l)
	if err != nil {
		return err
	}
	old := l.leader(f.controls)
	if old == nil {
		return fmt.Errorf("no leader")
	}
	old.end(syscall.SIGKILL)
	time.Sleep(pause("PAUSE_MS", 300))
	next, err := l.successor(f)
	if err != nil {
		return err
	}
	started := time.Now()
	rest := []*machine{next}
	for _, m := range f.controls {
		if m != old {
			rest = append(rest, m)
		}
	}
	time.Sleep(time.Until(started.Add(catchUpTime + 10*time.Millisecond)))
	if s := l.order(rest[1:], 1, manifest(2, []string{"reports", "archive"}, repairRoutes), 4*time.Second); s != 200 {
		return fmt.Errorf("the change is not acknowledged: %d", s)
	}
	if l.trouble {
		if err := l.wipe(rest[1:3], 800*time.Millisecond); err != nil {
			return err
		}
	}
	l.judgeRead(rest, 2)
	return nil
}
