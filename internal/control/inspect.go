package control

import "time"

// Leader returns the presumed control leader.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.presumedLeader
}

// ConfigAge returns the time since the configuration was confirmed, counted from just
// before the sending of the Renew whose answer confirmed it; -1 ms before the first
// confirmation.
func (c *Client) ConfigAge() time.Duration { return c.ConfigAgeAt(c.opts.Clock.Now()) }

// ConfigAgeAt is ConfigAge at a time of the client's clock, for callers that have read it already.
func (c *Client) ConfigAgeAt(now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.confirmed {
		return -time.Millisecond
	}
	return now - c.confirmedAt
}
