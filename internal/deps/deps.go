//go:build deps

// Package deps keeps the declared libraries in go.mod while packages are being added.
package deps

import (
	_ "github.com/BurntSushi/toml"
	_ "github.com/frankban/quicktest"
	_ "github.com/google/uuid"
	_ "github.com/peterbourgon/ff/v3"
	_ "github.com/peterbourgon/ff/v3/ffcli"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/sirupsen/logrus"
	_ "github.com/valyala/fasthttp"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "golang.org/x/sync/errgroup"
	_ "pgregory.net/rapid"
)
