package ctl

import "flag"

func requestIDFlag(fs *flag.FlagSet) *string {
	return fs.String("request-id", "", "request id of an earlier attempt whose answer was lost")
}

func ifRevisionFlag(fs *flag.FlagSet) *uint64 {
	return fs.Uint64("if-revision", 0, "expected revision; 0 means the current one")
}

func dryRunFlag(fs *flag.FlagSet) *bool {
	return fs.Bool("dry-run", false, "only show what would change")
}

// argsAndClient returns the positional arguments of a command, called as in names, and a client
// for its flags.
func (a *app) argsAndClient(fs *flag.FlagSet, args []string, names ...string) ([]string, *client, error) {
	values, err := exactArgs(fs, args, names...)
	if err != nil {
		return nil, nil, err
	}
	c, err := a.clientFromFlags()
	return values, c, err
}
