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

// lostAnswerTimeout is the timeout of a change whose answer the operator is meant to lose.
const lostAnswerTimeout = 2 * time.Millisecond

// changeOutcome is the answer to a configuration change.
type changeOutcome struct {
	revision uint64
	code     fault.Code
}

// postChange posts one change to a host. ok is false unless the answer is final: success or
// a revision conflict.
func (f *fleet) postChange(ctx context.Context, h *host, id string, c config.Change) (out changeOutcome, ok bool) {
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
	var response admin.RevisionResponse
	var refusal admin.ErrorBody
	if resp.StatusCode == http.StatusOK {
		err = json.NewDecoder(resp.Body).Decode(&response)
		return changeOutcome{revision: response.Revision}, err == nil
	}
	err = json.NewDecoder(resp.Body).Decode(&refusal)
	return changeOutcome{code: refusal.Error.Code}, err == nil && refusal.Error.Code == fault.RevisionConflict
}

// changeUntilAnswered sends a change with the same request id through all hosts in turn
// until one gives a final answer.
func (f *fleet) changeUntilAnswered(hostIndex int, id string, c config.Change) (out changeOutcome, err error) {
	names := f.hostNames(false)
	err = f.await(func() (bool, string) {
		hostIndex++
		h := f.hosts[names[hostIndex%len(names)]]
		if !h.process.running() {
			return false, "host " + h.name + " is not running"
		}
		ctx, cancel := context.WithTimeout(f.ctx, statusTimeout)
		defer cancel()
		var ok bool
		out, ok = f.postChange(ctx, h, id, c)
		return ok, fmt.Sprintf("host %s: %+v", h.name, out)
	})
	return out, err
}

func (f *fleet) newestContract(account string) (contract config.Contract, err error) {
	var newest *config.Config
	for _, h := range f.hosts {
		c := config.New()
		if h.process.running() && f.getJSON("http://"+h.admin+"/v1/config", c) == nil && (newest == nil || c.Revision > newest.Revision) {
			newest = c
		}
	}
	if newest == nil {
		return contract, fmt.Errorf("no host answers")
	}
	return newest.Contracts[account], nil
}

// cmdRace lets operators change one contract concurrently with the same expected revision
// through all hosts, in several rounds: race ACCOUNT ROUNDS. Every second operator loses
// its first answer; each resends its change with the same request id. The command fails
// unless each round has exactly one winner and each resend gets the first answer.
func cmdRace(ts *testscript.TestScript, f *fleet, args []string) error {
	rounds, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	for round := range rounds {
		old, err := f.newestContract(args[0])
		if err != nil {
			return err
		}
		winner, err := f.runRace(old, round)
		if err != nil {
			return fmt.Errorf("round %d: %w", round, err)
		}
		err = f.await(func() (bool, string) {
			now, err := f.newestContract(args[0])
			return err == nil && now.Revision == winner.revision, fmt.Sprintf("revision %d is not visible: %v", winner.revision, err)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) runRace(old config.Contract, round int) (winner changeOutcome, err error) {
	operators := 2 * len(f.hosts)
	names := f.hostNames(false)
	outcomes := make([]changeOutcome, operators)
	errs := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			contract := old
			contract.Weight, contract.Revision = float64(round*operators+i+2), 0
			c := config.Change{Contract: &contract, IfRevision: old.Revision}
			id := uuid.Must(uuid.NewV7()).String()
			if i%2 == 1 {
				ctx, cancel := context.WithTimeout(f.ctx, lostAnswerTimeout)
				_, _ = f.postChange(ctx, f.hosts[names[i%len(names)]], id, c)
				cancel()
			}
			if outcomes[i], errs[i] = f.changeUntilAnswered(i, id, c); errs[i] != nil {
				return
			}
			again, err := f.changeUntilAnswered(i+1, id, c)
			if errs[i] = err; err == nil && again != outcomes[i] {
				errs[i] = fmt.Errorf("the first answer was %+v, that to the resend %+v", outcomes[i], again)
			}
		})
	}
	wg.Wait()
	winners := 0
	for i := range outcomes {
		if errs[i] != nil {
			return winner, errs[i]
		}
		if outcomes[i].code == "" {
			winners++
			winner = outcomes[i]
		}
	}
	if winners != 1 {
		return winner, fmt.Errorf("%d operators won: %+v", winners, outcomes)
	}
	return winner, nil
}

// cmdChanges changes the weight of a contract COUNT times, one after the other: changes
// ACCOUNT COUNT. The last weight is COUNT.
func cmdChanges(_ *testscript.TestScript, f *fleet, args []string) error {
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	contract, err := f.newestContract(args[0])
	if err != nil {
		return err
	}
	for i := range count {
		revision := contract.Revision
		contract.Weight, contract.Revision = float64(i+1), 0
		out, err := f.changeUntilAnswered(i, uuid.Must(uuid.NewV7()).String(), config.Change{Contract: &contract, IfRevision: revision})
		if err != nil {
			return err
		}
		if out.code != "" {
			return fmt.Errorf("change %d was refused: %s", i, out.code)
		}
		contract.Revision = out.revision
	}
	return nil
}
