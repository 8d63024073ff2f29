package peer

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/wire"
)

// lossLogInterval is the shortest time between two log lines about lost messages, which bounds
// their volume while many peers are out of reach.
const lossLogInterval = time.Second

// lossLog logs messages that are not sent.
type lossLog struct {
	log logrus.FieldLogger

	mu sync.Mutex
	// suppressed counts the messages since the last line, which was logged at last.
	suppressed int
	last       time.Time
}

// record logs the loss of a message. Losses within lossLogInterval of the last line are counted and
// added to the next one.
func (l *lossLog) record(reason, peer string, kind wire.Kind, bytes int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() && now.Sub(l.last) < lossLogInterval {
		l.suppressed++
		return
	}
	l.log.WithFields(logrus.Fields{"reason": reason, "peer": peer, "kind": kind, "bytes": bytes, "others": l.suppressed}).Warn("Message was not sent.")
	l.suppressed, l.last = 0, now
}
