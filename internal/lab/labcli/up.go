package labcli

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/certificate"
	"github.com/thorntiller/thorntiller/internal/lab/caller"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/trial"
)

const (
	upControllers     = 3
	upRouters         = 2
	upServersPerKind  = 4
	upShardsPerServer = 8
	// upStartTimeout bounds the start of the fleet.
	upStartTimeout = 30 * time.Second
	// upRate is each deployment's default rate, in requests per second.
	upRate = 40
	// upTraffic bounds the traffic, whose records grow with it.
	upTraffic = 2 * time.Hour
	// upRequests is above what upRate sends in upTraffic.
	upRequests = 1_000_000_000
)

// upOptions are the flags of the command up.
type upOptions struct {
	folder    string
	rate      float64
	traffic   time.Duration
	encrypted bool
}

func newUp() *cobra.Command {
	var options upOptions
	command := &cobra.Command{
		Use:   "up",
		Short: "Start a small fleet of both deployments with traffic, and keep it until Ctrl-C",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runUp(command.Context(), options, command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.folder, "folder", "", "folder for settings, data, logs and records; a temporary one, removed at the end, when empty")
	flags.Float64Var(&options.rate, "rate", upRate, "requests per second of each deployment; 0 for no traffic")
	flags.DurationVar(&options.traffic, "traffic", upTraffic, "time after which the callers stop sending")
	flags.BoolVar(&options.encrypted, "encrypted", false, "give every process of the product, and the operator, a certificate")
	return command
}

// runUp keeps a fleet until the context ends.
func runUp(ctx context.Context, options upOptions, output io.Writer) error {
	place, err := newWorkplace(options.folder)
	if err != nil {
		return err
	}
	defer place.remove()
	scale := fleet.Scale{MaxServers: upServersPerKind, ShardsPerServer: upShardsPerServer}
	deployments := []fleet.Deployment{fleet.Paylink(scale), fleet.Derwent(scale)}
	fmt.Fprintln(output, "starting the processes")
	running, err := startUp(ctx, place, deployments, options.encrypted)
	if err != nil {
		return eris.Wrapf(err, "logs are in %s", place.keep())
	}
	defer running.Stop()
	for number, deployment := range deployments {
		if err := sendTraffic(running, place, deployment, options, uint64(number)); err != nil {
			return err
		}
	}
	describeUp(output, place, running, options.encrypted)
	<-ctx.Done()
	fmt.Fprintln(output, "\nstopping the processes")
	return nil
}

// startUp starts the fleet and creates its services.
func startUp(ctx context.Context, place *workplace, deployments []fleet.Deployment, encrypted bool) (*fleet.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, upStartTimeout)
	defer cancel()
	running, err := fleet.Start(ctx, fleet.Options{
		Product: place.product, Lab: place.lab, Folder: place.folder,
		Controllers: upControllers, Routers: upRouters, Deployments: deployments, Encrypted: encrypted,
	})
	if err != nil {
		return nil, err
	}
	err = running.CreateServices(ctx)
	if err == nil {
		err = running.WaitRouters(ctx)
	}
	if err != nil {
		running.Stop()
		return nil, err
	}
	return running, nil
}

func sendTraffic(running *fleet.Fleet, place *workplace, deployment fleet.Deployment, options upOptions, seed uint64) error {
	if options.rate <= 0 {
		return nil
	}
	settings := caller.Config{
		Name: "caller-" + deployment.Name, Loads: trial.LoadsOf(deployment, options.rate),
		Requests: upRequests, Duration: options.traffic, Seed: seed, OtherRouter: 0.5,
		RecordFile: filepath.Join(place.folder, "records", "caller-"+deployment.Name+".jsonl"),
	}
	for _, router := range running.Routers {
		settings.Routers = append(settings.Routers, router.Address)
	}
	_, err := running.StartCaller(settings)
	return err
}

// describeUp prints where the processes listen and what to try.
func describeUp(output io.Writer, place *workplace, running *fleet.Fleet, encrypted bool) {
	fmt.Fprintf(output, "settings, data, logs and records: %s\n\n", place.folder)
	for _, controller := range running.Controllers {
		fmt.Fprintf(output, "%-18s pid %-8d intent API %s  peers %s\n",
			controller.Name, controller.Process.PID(), controller.AdminAddress, controller.PeerAddress)
	}
	for _, router := range running.Routers {
		fmt.Fprintf(output, "%-18s pid %-8d callers    %s  health and metrics %s\n",
			router.Name, router.Process.PID(), router.Address, router.AdminAddress)
	}
	fmt.Fprintf(output, "%-18s pid %-8d list       %s\n", "platform", running.Platform.Process.PID(), running.Platform.Address)
	for _, backEnd := range running.BackEnds {
		fmt.Fprintf(output, "%-18s pid %-8d back end   %s\n", backEnd.Spec.ID, backEnd.Process.PID(), backEnd.Address)
	}
	fmt.Fprintf(output, "\nIn another shell:\n\n")
	if encrypted {
		describeCertificates(output, running.OperatorFiles())
	}
	fmt.Fprintf(output, `  export THORNTILLER_ENDPOINTS=%s
  %[2]s status
  kill -9 PID       # of any process above; then look at status again
  %[2]s get shards ledger-view
  %[2]s plan move-key ledger-view paylink-0
  %[2]s plan retire-server viewer-1
  curl -si -H 'Thorntiller-Key: paylink-0' http://%[3]s/ledger-view/balance

Ctrl-C stops everything.
`, strings.Join(running.Endpoints(), ","), place.product, running.Routers[0].Address)
}

func describeCertificates(output io.Writer, files certificate.Files) {
	fmt.Fprintf(output, "  export THORNTILLER_CERTIFICATE=%s THORNTILLER_KEY=%s THORNTILLER_AUTHORITY=%s\n",
		files.Certificate, files.Key, files.Authority)
}
