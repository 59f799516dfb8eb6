package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// callLimit is the time after which an operator moves on to another instance.
	callLimit = time.Second
	// orderLimit bounds the attempts to send one manifest.
	orderLimit = 15 * time.Second
	// readLimit is how long an operator reads back in vain at the end: the time in which
	// the deployment must serve again (recovery_s), and catch_up_s and contact_window_s
	// on top of it.
	readLimit = 22 * time.Second
	pause     = 100 * time.Millisecond
)

const manifestText = `{"version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},` +
	`"listeners":[{"host":"review.example","rules":[{"name":"r-one","route_type":"safe","target_latency_s":1.5,"priority":2,` +
	`"match":{"path_prefix":"/one/"},"action":{"service":"archive","timeout_s":%d,"max_attempts":2}},` +
	`{"name":"r-two","route_type":"safe","target_latency_s":1.5,"priority":2,` +
	`"match":{"path_prefix":"/two/"},"action":{"service":"footage","timeout_s":5,"max_attempts":2}},` +
	`{"name":"r-up","route_type":"upload","target_latency_s":1.5,"priority":1,` +
	`"match":{"path_prefix":"/up/"},"action":{"service":"footage","timeout_s":6,"max_attempts":2}}]}],` +
	`"clusters":[{"name":"archive","health_check_path":"/health","max_connections":484,"protocol":"h1","tls":false},` +
	`{"name":"footage","health_check_path":"/health","max_connections":172,"protocol":"h1","tls":false}]}`

// call sends one request to a control instance on a connection of its own.
func call(ctx context.Context, method, url, base, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if base != "" {
		r.Header.Set("Base-Version", base)
		r.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, string(b), err
}

// change sends the next manifest to one instance after another until it is acknowledged.
func (d *deployment) change(ctx context.Context) error {
	base, version := d.acknowledged, d.acknowledged+1
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		list := d.present()
		m := list[i%len(list)]
		status, _, err := call(ctx, http.MethodPost, "http://"+m.address()+"/Config.Replace", strconv.FormatUint(base, 10), fmt.Sprintf(manifestText, version, 1+version))
		if err == nil && status == http.StatusOK {
			d.record.printf("manifest %d on %d: 200 from %s", version, base, m.name)
			d.acknowledged = version
			return nil
		}
		if err == nil && status < http.StatusInternalServerError {
			return fmt.Errorf("manifest %d on %d: status %d from %s", version, base, status, m.name)
		}
		if err := sleep(ctx, pause); err != nil {
			break
		}
	}
	return fmt.Errorf("manifest %d: no acknowledgement within %s", version, orderLimit)
}

// read reads the manifest at one instance.
func (d *deployment) read(ctx context.Context, m *machine) (version uint64, status int, err error) {
	status, body, err := call(ctx, http.MethodGet, "http://"+m.address()+"/Config.Read", "", "")
	if err != nil || status != http.StatusOK {
		return 0, status, err
	}
	var text struct {
		Version uint64 `json:"version"`
	}
	err = json.Unmarshal([]byte(body), &text)
	return text.Version, status, err
}

// checkReadBack reads the manifest at all instances in turn until one returns the version
// that was acknowledged last. It returns false if none does in time, or if one returns an
// older version.
func (d *deployment) checkReadBack(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	answers := map[string]int{}
	for i := 0; ctx.Err() == nil; i++ {
		list := d.present()
		m := list[i%len(list)]
		version, status, err := d.read(ctx, m)
		switch {
		case err == nil && status == http.StatusOK && version >= d.acknowledged:
			d.record.printf("read back: version %d from %s: held", version, m.name)
			return true
		case err == nil && status == http.StatusOK:
			d.record.printf("read back: version %d from %s, %d was acknowledged: broken", version, m.name, d.acknowledged)
			return false
		case err == nil:
			answers[fmt.Sprintf("%d from %s", status, m.name)]++
		default:
			answers["no response from "+m.name]++
		}
		_ = sleep(ctx, pause)
	}
	d.record.printf("read back for %s: no manifest, %d was acknowledged; answers: %v: broken", readLimit, d.acknowledged, answers)
	return false
}
