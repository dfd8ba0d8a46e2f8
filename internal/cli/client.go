package cli

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/certificate"
	"github.com/thorntiller/thorntiller/internal/intentapi"
)

// Environment variables that stand in for flags.
const (
	environmentEndpoints = "THORNTILLER_ENDPOINTS"
	environmentOperator  = "THORNTILLER_OPERATOR"
	// The paths of PEM files, as certificate.Files has them.
	environmentCertificate = "THORNTILLER_CERTIFICATE"
	environmentKey         = "THORNTILLER_KEY"
	environmentAuthority   = "THORNTILLER_AUTHORITY"
)

const (
	defaultEndpoint = "127.0.0.1:7201"
	defaultTimeout  = 10 * time.Second
)

// clientFlags are the flags of the commands that call the intent API.
type clientFlags struct {
	endpoints []string
	timeout   time.Duration
	files     certificate.Files
}

// addClientFlags gives the command, and those below it, the flags of the client and of the
// output.
func (p *program) addClientFlags(command *cobra.Command) {
	flags := command.PersistentFlags()
	flags.StringSliceVar(&p.client.endpoints, "endpoints", nil,
		"API addresses of controllers, with commas between them (default $"+environmentEndpoints+", else "+defaultEndpoint+")")
	flags.StringVar(&p.client.files.Certificate, "certificate", os.Getenv(environmentCertificate), "PEM file of your certificate (default $"+environmentCertificate+")")
	flags.StringVar(&p.client.files.Key, "key", os.Getenv(environmentKey), "PEM file of its private key (default $"+environmentKey+")")
	flags.StringVar(&p.client.files.Authority, "authority", os.Getenv(environmentAuthority), "PEM file of the authority that signed the controllers' certificates (default $"+environmentAuthority+")")
	flags.DurationVar(&p.client.timeout, "timeout", defaultTimeout, "longest time for the command")
	flags.VarP(&p.output, "output", "o", "form of the output: table or json")
}

func (f clientFlags) addresses() ([]string, error) {
	endpoints := f.endpoints
	if len(endpoints) == 0 {
		endpoints = splitList(os.Getenv(environmentEndpoints))
	}
	if len(endpoints) == 0 {
		endpoints = []string{defaultEndpoint}
	}
	for _, endpoint := range endpoints {
		if _, err := netip.ParseAddrPort(endpoint); err != nil {
			return nil, &usageError{cause: fmt.Errorf("--endpoints %q is no IP:port; write one such as %s", endpoint, defaultEndpoint)}
		}
	}
	return endpoints, nil
}

// certificates opens the files, or returns nil for plain text.
func (f clientFlags) certificates() (*certificate.Store, error) {
	store, err := certificate.OpenIfNamed(f.files)
	if err != nil {
		return nil, &usageError{cause: fmt.Errorf("--certificate, --key and --authority must name PEM files that belong together: %w", err)}
	}
	return store, nil
}

func splitList(text string) []string {
	var entries []string
	for entry := range strings.SplitSeq(text, ",") {
		if trimmed := strings.TrimSpace(entry); trimmed != "" {
			entries = append(entries, trimmed)
		}
	}
	return entries
}

// apiCall is the work of one command with a client.
type apiCall func(ctx context.Context, client *intentapi.Client) error

// withClient runs the work with a client, within the time that the flags allow.
func (p *program) withClient(command *cobra.Command, work apiCall) error {
	endpoints, err := p.client.addresses()
	if err != nil {
		return err
	}
	if p.client.timeout <= 0 {
		return &usageError{cause: errors.New("--timeout must be above zero, such as 10s")}
	}
	certificates, err := p.client.certificates()
	if err != nil {
		return err
	}
	client, err := intentapi.NewClient(intentapi.ClientConfig{Endpoints: endpoints, Certificates: certificates})
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(command.Context(), p.client.timeout)
	defer cancel()
	return work(ctx, client)
}

// operatorOf returns the operator's name for the record of plans.
func operatorOf(flag string) (string, error) {
	for _, name := range []string{flag, os.Getenv(environmentOperator)} {
		if name != "" {
			return name, nil
		}
	}
	if account, err := user.Current(); err == nil && account.Username != "" {
		return account.Username, nil
	}
	return "", &usageError{cause: errors.New("the operator's name is missing and this account has none; give --operator or set " + environmentOperator)}
}

func addOperatorFlag(command *cobra.Command, operator *string) {
	command.PersistentFlags().StringVar(operator, "operator", "", "your name, kept with the plan (default $"+environmentOperator+", else your account)")
}
