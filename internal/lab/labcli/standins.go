package labcli

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/lab/backend"
	"github.com/thorntiller/thorntiller/internal/lab/caller"
	"github.com/thorntiller/thorntiller/internal/lab/platform"
)

// stopWithin is how long a stand-in may take to finish its running requests.
const stopWithin = 10 * time.Second

func jsonLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return logger
}

func newBackend() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "backend",
		Short: "Run a stand-in back end",
		RunE: func(command *cobra.Command, _ []string) error {
			var config backend.Config
			if err := readSettings(path, &config); err != nil {
				return err
			}
			server, err := backend.New(config, jsonLogger())
			if err != nil {
				return err
			}
			return server.Run(command.Context(), stopWithin)
		},
	}
	command.Flags().StringVar(&path, "config", "", "settings file (YAML)")
	cobra.CheckErr(command.MarkFlagRequired("config"))
	return command
}

func newPlatform() *cobra.Command {
	var config platform.Config
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in of the platform's list of machines",
		RunE: func(command *cobra.Command, _ []string) error {
			server, err := platform.New(config, jsonLogger())
			if err != nil {
				return err
			}
			return server.Run(command.Context(), stopWithin)
		},
	}
	command.Flags().StringVar(&config.Address, "address", "127.0.0.1:0", "address to listen on, IP:port")
	command.Flags().DurationVar(&config.Lag, "lag", 0, "how long the list lags behind changes")
	return command
}

func newCaller() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "caller",
		Short: "Send bounded traffic to routers and record each attempt",
		RunE: func(command *cobra.Command, _ []string) error {
			var config caller.Config
			if err := readSettings(path, &config); err != nil {
				return err
			}
			sender, err := caller.New(config)
			if err != nil {
				return err
			}
			report, err := sender.Run(command.Context())
			if err != nil {
				return err
			}
			return printJSON(command.OutOrStdout(), report)
		},
	}
	command.Flags().StringVar(&path, "config", "", "settings file (YAML)")
	cobra.CheckErr(command.MarkFlagRequired("config"))
	return command
}
