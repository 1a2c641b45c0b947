package conf

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix starts the names of the environment variables: GYP_LISTEN sets
// the setting listen.
const EnvPrefix = "GYP"

// ErrFaults reports settings that can't be used.
var ErrFaults = merry.Sentinel("invalid settings")

// Fault is one thing wrong with the settings.
type Fault struct {
	Field string
	Text  string
}

// String returns the fault as one line.
func (f Fault) String() string { return f.Field + ": " + f.Text }

// Set is the settings of one program. Make one with New, declare the settings,
// then call Parse.
type Set struct {
	flags    *flag.FlagSet
	check    bool
	faults   []Fault
	required []string
	given    map[string]bool
	broken   bool // the file could not be parsed
}

// New returns an empty set for the named program. Its usage goes to out.
func New(program string, out io.Writer) *Set {
	s := &Set{flags: flag.NewFlagSet(program, flag.ContinueOnError), given: map[string]bool{}}
	s.flags.SetOutput(out)
	s.flags.String("config", "", "settings `file`, JSON with comments")
	s.flags.BoolVar(&s.check, "check", false, "check the settings, print every fault, and exit")
	return s
}

// Name declares a setting that names something: 1 to 48 of a-z, 0-9 and -.
func (s *Set) Name(p *string, name, def, usage string) {
	s.declare(p, name, def, usage, func(text string) error {
		if !jobkey.ValidName(text) {
			return merry.New("must be 1 to 48 of a-z, 0-9 and -")
		}
		return nil
	})
}

// Addr declares a setting that is an IP address and port.
func (s *Set) Addr(p *string, name, usage string) {
	s.declare(p, name, "", usage, checkAddr)
}

// OptionalAddr declares a setting that is an IP address and port, or not given.
func (s *Set) OptionalAddr(p *string, name, usage string) {
	s.flags.Func(name, usage, func(text string) error {
		if err := checkAddr(text); err != nil {
			return err
		}
		*p = text
		return nil
	})
}

// Addrs declares a setting that is a list of IP addresses and ports, separated
// by commas in flags and variables and an array in the file. If optional is
// false, at least one must be given.
func (s *Set) Addrs(p *[]string, name string, optional bool, usage string) {
	if !optional {
		s.required = append(s.required, name)
	}
	s.flags.Func(name, usage, func(text string) error {
		s.given[name] = true
		*p = nil
		for part := range strings.SplitSeq(text, ",") {
			if err := checkAddr(part); err != nil {
				return err
			}
			*p = append(*p, part)
		}
		return nil
	})
}

// Int declares a setting that is a whole number from lo to hi.
func (s *Set) Int(p *int, name string, def, lo, hi int, usage string) {
	*p = def
	usage = fmt.Sprintf("%s, %d to %d (default %d)", usage, lo, hi, def)
	s.flags.Func(name, usage, func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil {
			return merry.Errorf("must be a whole number, not %q", text)
		}
		if n < lo || n > hi {
			return merry.Errorf("must be %d to %d, not %d", lo, hi, n)
		}
		*p = n
		return nil
	})
}

// Millis declares a setting that is a time in whole milliseconds.
func (s *Set) Millis(p *time.Duration, name string, def, lo, hi time.Duration, usage string) {
	*p = def
	usage = fmt.Sprintf("%s, ms, %d to %d (default %d)", usage, lo.Milliseconds(), hi.Milliseconds(), def.Milliseconds())
	s.flags.Func(name, usage, func(text string) error {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return merry.Errorf("must be a whole number of ms, not %q", text)
		}
		d := time.Duration(ms) * time.Millisecond
		if d < lo || d > hi {
			return merry.Errorf("must be %d to %d ms, not %d", lo.Milliseconds(), hi.Milliseconds(), ms)
		}
		*p = d
		return nil
	})
}

// Parse reads args, the environment and the file that -config names. It
// returns ErrFaults if anything is wrong; Faults lists what.
func (s *Set) Parse(args []string) error {
	err := ff.Parse(s.flags, args,
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(s.readFile),
	)
	if err != nil {
		s.fault("settings", err.Error())
	}
	for _, name := range s.required {
		if !s.given[name] && !s.broken {
			s.fault(name, "is missing")
		}
	}
	if len(s.faults) > 0 {
		return ErrFaults
	}
	return nil
}

// Checking tells whether -check was given.
func (s *Set) CheckOnly() bool { return s.check }

// Faults returns what Parse found wrong.
func (s *Set) Faults() []Fault { return s.faults }

// Args returns the arguments left after the flags.
func (s *Set) Args() []string { return s.flags.Args() }

func (s *Set) declare(p *string, name, def, usage string, check func(string) error) {
	*p = def
	if def == "" {
		s.required = append(s.required, name)
	} else {
		usage += " (default " + def + ")"
	}
	s.flags.Func(name, usage, func(text string) error {
		s.given[name] = true
		if err := check(text); err != nil {
			return err
		}
		*p = text
		return nil
	})
}

func (s *Set) fault(field, text string) {
	s.faults = append(s.faults, Fault{Field: field, Text: text})
}

func checkAddr(text string) error {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Port() == 0 {
		return merry.Errorf("must be an IP address and port, not %q", text)
	}
	return nil
}
