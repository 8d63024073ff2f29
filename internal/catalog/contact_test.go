package catalog

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func newTestContact(hosts ...string) *Contact {
	c := NewContact("h0", rand.New(rand.NewSource(1)))
	c.SetHosts(append(hosts, "h0"))
	return c
}

// Guards against a host that takes its list for current although nobody has confirmed it lately.
func TestAgeOfContactGrowsWithoutReplies(t *testing.T) {
	c := qt.New(t)
	x := newTestContact("h1", "h2")
	_, known := x.Age(time.Second)
	c.Assert(known, qt.IsFalse)
	_, seq, ok := x.Next(time.Second)
	c.Assert(ok, qt.IsTrue)
	x.Confirm("h1", seq, 1100*time.Millisecond)
	for now := 1200 * time.Millisecond; now <= 9*time.Second; now += 100 * time.Millisecond {
		x.Next(now)
		age, known := x.Age(now)
		c.Assert(known, qt.IsTrue)
		c.Assert(age, qt.Equals, now-time.Second)
	}
}

// Guards against counting the age from a late reply's arrival: an overloaded host reads replies late.
func TestAgeOfContactCountsFromTheQuestion(t *testing.T) {
	c := qt.New(t)
	x := newTestContact("h1")
	_, first, _ := x.Next(0)
	_, second, ok := x.Next(RepeatAfter)
	c.Assert(ok, qt.IsTrue)
	x.Confirm("h1", second, 3*time.Second)
	x.Confirm("h1", first, 3*time.Second)
	age, _ := x.Age(3 * time.Second)
	c.Assert(age, qt.Equals, 3*time.Second-RepeatAfter)
	x.Confirm("h1", second+5, 3*time.Second)
	age, _ = x.Age(3 * time.Second)
	c.Assert(age, qt.Equals, 3*time.Second-RepeatAfter)
}

// Guards against a resumed stream that waits for the next regular question, and against questions
// that pile up.
func TestHurriedQuestionIsAskedAtOnce(t *testing.T) {
	c := qt.New(t)
	x := newTestContact("h1", "h2")
	_, first, _ := x.Next(0)
	x.Hurry(HurriedAfter - 1)
	_, _, ok := x.Next(HurriedAfter - 1)
	c.Assert(ok, qt.IsFalse)
	x.Hurry(HurriedAfter)
	_, second, ok := x.Next(HurriedAfter)
	c.Assert(ok, qt.IsTrue)
	_, _, ok = x.Next(HurriedAfter + 1)
	c.Assert(ok, qt.IsFalse)
	x.Confirm("h1", first, HurriedAfter+2)
	x.Confirm("h1", second, HurriedAfter+2)
	age, _ := x.Age(HurriedAfter + 2)
	c.Assert(age, qt.Equals, time.Duration(2))
}

// Guards against a host that loses contact because one other host is lost, and against idle chatter.
func TestContactSurvivesLostHosts(t *testing.T) {
	c := qt.New(t)
	x := newTestContact("h1", "h2", "h3", "h4")
	asked := 0
	for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
		to, seq, ok := x.Next(now)
		if ok {
			c.Assert(to, qt.Not(qt.Equals), "h0")
			if asked++; to != "h1" && to != "h2" {
				x.Confirm(to, seq, now)
			}
		}
		if age, known := x.Age(now); known {
			c.Assert(age < MaxContactAge, qt.IsTrue, qt.Commentf("%s at %s", age, now))
		}
	}
	c.Assert(asked <= int(20*time.Second/RepeatAfter), qt.IsTrue, qt.Commentf("%d questions", asked))
}

// Guards against a single host that waits for others.
func TestSingleHostNeedsNoContact(t *testing.T) {
	c := qt.New(t)
	x := newTestContact()
	_, _, ok := x.Next(time.Hour)
	c.Assert(ok, qt.IsFalse)
	age, known := x.Age(time.Hour)
	c.Assert(known, qt.IsTrue)
	c.Assert(age, qt.Equals, time.Duration(0))
}

// Guards against hosts that lose contact while most of the fleet still runs a version that answers no questions.
func TestContactSurvivesHostsThatNeverAnswer(t *testing.T) {
	c := qt.New(t)
	hosts := []string{"new"}
	for i := range 40 {
		hosts = append(hosts, fmt.Sprint("old", i))
	}
	x := newTestContact(hosts...)
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		if to, seq, ok := x.Next(now); ok && to == "new" {
			x.Confirm(to, seq, now)
		}
		if age, known := x.Age(now); known {
			c.Assert(age < MaxContactAge, qt.IsTrue, qt.Commentf("%s at %s", age, now))
		}
	}
}
