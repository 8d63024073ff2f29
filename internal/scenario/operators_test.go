package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

// lostAfter is how long an operator that loses the answer waits for it.
const lostAfter = 2 * time.Millisecond

// outcome is the answer to one order of an operator.
type outcome struct {
	revision uint64
	code     fault.Code
}

// change posts one change to a host. ok is false when the answer is lost or temporary.
func (f *fleet) change(ctx context.Context, h *host, id string, c config.Change) (out outcome, ok bool) {
	b, err := json.Marshal(admin.ChangeRequest{RequestID: id, Changes: []config.Change{c}})
	if err != nil {
		return out, false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.admin+"/v1/config", bytes.NewReader(b))
	if err != nil {
		return out, false
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, false
	}
	defer resp.Body.Close()
	var answer admin.RevisionAnswer
	var refusal admin.ErrorBody
	if resp.StatusCode == http.StatusOK {
		err = json.NewDecoder(resp.Body).Decode(&answer)
		return outcome{revision: answer.Revision}, err == nil
	}
	err = json.NewDecoder(resp.Body).Decode(&refusal)
	return outcome{code: refusal.Error.Code}, err == nil && refusal.Error.Code == fault.RevisionConflict
}

// settle sends a change with the same request id through all hosts until one answers.
func (f *fleet) settle(first int, id string, c config.Change) (out outcome, err error) {
	names := f.names(false)
	err = f.await(func() (bool, string) {
		first++
		h := f.hosts[names[first%len(names)]]
		if !h.p.running() {
			return false, "host " + h.name + " is not running"
		}
		ctx, cancel := context.WithTimeout(f.ctx, requestLimit)
		defer cancel()
		var ok bool
		out, ok = f.change(ctx, h, id, c)
		return ok, fmt.Sprintf("host %s: %+v", h.name, out)
	})
	return out, err
}

func (f *fleet) contract(account string) (o config.Contract, err error) {
	var newest *config.Config
	for _, h := range f.hosts {
		c := config.New()
		if h.p.running() && f.getJSON("http://"+h.admin+"/v1/config", c) == nil && (newest == nil || c.Revision > newest.Revision) {
			newest = c
		}
	}
	if newest == nil {
		return o, fmt.Errorf("no host answers")
	}
	return newest.Contracts[account], nil
}

// cmdRace lets operators change one contract with equal revisions, through all hosts at
// once, several times. Every second operator loses its first answer; each sends its
// order again with the same request id. It fails unless each round has exactly one
// winner and each resend gets the first answer: race ACCOUNT ROUNDS.
func cmdRace(ts *testscript.TestScript, f *fleet, args []string) error {
	rounds, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	for round := range rounds {
		old, err := f.contract(args[0])
		if err != nil {
			return err
		}
		won, err := f.raceOnce(old, round)
		if err != nil {
			return fmt.Errorf("round %d: %w", round, err)
		}
		err = f.await(func() (bool, string) {
			now, err := f.contract(args[0])
			return err == nil && now.Revision == won.revision, fmt.Sprintf("revision %d is not visible: %v", won.revision, err)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) raceOnce(old config.Contract, round int) (won outcome, err error) {
	operators := 2 * len(f.hosts)
	names := f.names(false)
	outcomes := make([]outcome, operators)
	errs := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			o := old
			o.Weight, o.Revision = float64(round*operators+i+2), 0
			c := config.Change{Contract: &o, IfRevision: old.Revision}
			id := uuid.Must(uuid.NewV7()).String()
			if i%2 == 1 {
				ctx, cancel := context.WithTimeout(f.ctx, lostAfter)
				_, _ = f.change(ctx, f.hosts[names[i%len(names)]], id, c)
				cancel()
			}
			if outcomes[i], errs[i] = f.settle(i, id, c); errs[i] != nil {
				return
			}
			again, err := f.settle(i+1, id, c)
			if errs[i] = err; err == nil && again != outcomes[i] {
				errs[i] = fmt.Errorf("the first answer was %+v, that to the resend %+v", outcomes[i], again)
			}
		})
	}
	wg.Wait()
	winners := 0
	for i := range outcomes {
		if errs[i] != nil {
			return won, errs[i]
		}
		if outcomes[i].code == "" {
			winners++
			won = outcomes[i]
		}
	}
	if winners != 1 {
		return won, fmt.Errorf("%d operators won: %+v", winners, outcomes)
	}
	return won, nil
}

// cmdChanges makes changes of the weight of a contract, one after the other: changes
// ACCOUNT COUNT. The last weight is COUNT.
func cmdChanges(_ *testscript.TestScript, f *fleet, args []string) error {
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	o, err := f.contract(args[0])
	if err != nil {
		return err
	}
	for i := range count {
		revision := o.Revision
		o.Weight, o.Revision = float64(i+1), 0
		out, err := f.settle(i, uuid.Must(uuid.NewV7()).String(), config.Change{Contract: &o, IfRevision: revision})
		if err != nil {
			return err
		}
		if out.code != "" {
			return fmt.Errorf("change %d was refused: %s", i, out.code)
		}
		o.Revision = out.revision
	}
	return nil
}
