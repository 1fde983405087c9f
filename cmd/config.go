package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"radishpath.example/radishpath/caller/callerclient"
)

// Default addresses.
const (
	defaultServer = "127.0.0.1:7083"
	defaultStore  = "127.0.0.1:7070"
)

// Config holds the dependencies and global flags shared by all commands.
type Config struct {
	Clock  clockwork.Clock
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Getenv returns the value of an environment variable.
	Getenv func(name string) string
	// Terminal reports whether Stdout is a terminal.
	Terminal func() bool

	store string
	// storeNamed is set if a flag or the environment names the store.
	storeNamed  bool
	credentials string
	server      string
	token       string
	output      string
}

// Execute runs the command with the given arguments and returns the exit code of the process.
func Execute(args []string) int {
	config := &Config{
		Clock:    clockwork.NewRealClock(),
		Stdin:    os.Stdin,
		Stdout:   os.Stdout,
		Stderr:   os.Stderr,
		Getenv:   os.Getenv,
		Terminal: stdoutIsTerminal,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return config.run(ctx, args)
}

// commands returns all subcommands.
func (c *Config) commands() []*cobra.Command {
	return []*cobra.Command{
		c.newCheckCmd(),
		c.newPublishCmd(),
		c.newDiffCmd(),
		c.newShowCmd(),
		c.newDrainCmd(),
		c.newUndrainCmd(),
		c.newTopCmd(),
		c.newExplainCmd(),
		c.newSubmitCmd(),
		c.newStatusCmd(),
		c.newWaitCmd(),
		c.newCancelCmd(),
		c.newEntryCmd(),
		c.newAgentCmd(),
		c.newVersionCmd(),
	}
}

func (c *Config) callerClient() *callerclient.Client {
	return callerclient.New(callerclient.Config{
		Address: c.server,
		Token:   c.token,
	})
}

func (c *Config) envOrDefault(name, defaultValue string) string {
	if value := c.Getenv(name); value != "" {
		return value
	}
	return defaultValue
}

func (c *Config) newRootCmd() *cobra.Command {
	root := &cobra.Command{
		Use:   "radishpath",
		Short: "Schedule multi-accelerator jobs under workspace guarantees",
		Long: "Schedule multi-accelerator jobs under workspace guarantees.\n\n" +
			"Environment:\n" +
			"  RADISHPATH_STORE   address of the store for operator commands, default " + defaultStore + "\n" +
			"  RADISHPATH_SERVER  address of the server for caller commands, default " + defaultServer + "\n" +
			"  RADISHPATH_TOKEN   bearer token of a caller; unlike --token not visible in process listings\n\n" + exitCodesHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			c.storeNamed = cmd.Flags().Changed("store") || c.Getenv("RADISHPATH_STORE") != ""
			if c.output != "text" && c.output != "json" {
				return invalidInputError(fmt.Errorf("--output: %q is not text or json", c.output))
			}
			return nil
		},
	}
	root.SetIn(c.Stdin)
	root.SetOut(c.Stdout)
	root.SetErr(c.Stderr)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return invalidInputError(err) })
	flags := root.PersistentFlags()
	flags.StringVar(&c.store, "store", c.envOrDefault("RADISHPATH_STORE", defaultStore), "address of the store")
	flags.StringVar(&c.credentials, "credentials", "", "INI file with a [tls] section, if entries use TLS")
	flags.StringVar(&c.server, "server", c.envOrDefault("RADISHPATH_SERVER", defaultServer),
		"address of the server for caller commands")
	// The environment variable is not the default of the flag, because the help text prints defaults.
	flags.StringVar(&c.token, "token", "", "bearer token (RADISHPATH_TOKEN is preferred)")
	flags.StringVarP(&c.output, "output", "o", "text", "output format: text or json")
	root.AddCommand(c.commands()...)
	return root
}

func (c *Config) run(ctx context.Context, args []string) int {
	root := c.newRootCmd()
	root.SetArgs(args)
	c.token = c.Getenv("RADISHPATH_TOKEN")
	err := root.ExecuteContext(ctx)
	var exitErr *ExitError
	if err != nil && (!errors.As(err, &exitErr) || exitErr.Err != nil) {
		_, _ = fmt.Fprintln(c.Stderr, "Error:", err)
	}
	if err != nil && strings.HasPrefix(err.Error(), "unknown command") {
		return exitInvalid
	}
	return exitCode(err)
}

func invalidInputError(err error) error {
	return &ExitError{
		Code: exitInvalid,
		Err:  err,
	}
}

func stdoutIsTerminal() bool {
	info, err := os.Stdout.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
