package scenario

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// process is a daemon or an emulator that the test harness started.
type process struct {
	cmd   *exec.Cmd
	input io.WriteCloser
	log   *os.File
	done  chan struct{}
}

// usualProcs is the number of threads that run Go code in a process.
const usualProcs = 2

func startProcess(dir, name, program string, args ...string) (*process, error) {
	return startProcessWith(usualProcs, dir, name, program, args...)
}

func startProcessWith(procs int, dir, name, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(program, args...), log: log, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), childVariable+"=1", fmt.Sprint("GOMAXPROCS=", procs))
	if p.input, err = p.cmd.StdinPipe(); err != nil {
		log.Close()
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		log.Close()
		close(p.done)
	}()
	return p, nil
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	if p.running() {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}
