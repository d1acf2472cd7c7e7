package entryd

import "context"

// serveAdapters starts the adapters' servers. The error of a server that fails is sent
// to failed.
func (d *Daemon) serveAdapters(failed chan<- error) {
	for _, s := range d.adapterServers {
		go func() {
			if err := s.Serve(); err != nil {
				failed <- err
			}
		}()
	}
}

// shutdownAdapters shuts the adapters' servers down and returns the first error. Their
// requests in progress have finalAnswerTimeout to complete.
func (d *Daemon) shutdownAdapters() error {
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTimeout)
	defer cancel()
	var first error
	for _, s := range d.adapterServers {
		if err := s.Shutdown(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}
