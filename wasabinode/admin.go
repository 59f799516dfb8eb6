package wasabinode

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/wasabistand/wasabistand"
)

// Ready reports whether callers should use the node, and otherwise why not.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.state() == wasabistand.Leaving:
		return false, "leaving"
	case n.activeConfig() == nil:
		return false, "no configuration is confirmed yet"
	case !n.upstreamReachable():
		return false, "the upstream accepts no connections"
	}
	return true, "ready"
}

func (n *Node) adminRoutes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("live\n")) })
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		ready, why := n.Ready()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(why + "\n"))
	})
	if n.parts.Gatherer != nil {
		m.Handle("GET /metrics", promhttp.HandlerFor(n.parts.Gatherer, promhttp.HandlerOpts{}))
	}
	for pattern, h := range n.parts.Admin {
		m.Handle(pattern, h)
	}
	return m
}
