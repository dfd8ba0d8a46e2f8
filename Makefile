# Targets for people and for CI. The binaries go to bin/.

GOLANGCI_LINT_VERSION := v2.12.2
GOLANGCI_LINT := bin/golangci-lint-$(GOLANGCI_LINT_VERSION)
# Findings are cached with the path of the checkout that they were found in, so a cache
# that several checkouts share reports files of a checkout that is gone.
GOLANGCI_LINT_CACHE := $(CURDIR)/bin/golangci-lint-cache
GOPLS_VERSION := v0.23.0
GOPLS := bin/gopls-$(GOPLS_VERSION)
VERSION := $(shell git describe --tags --always --dirty 2>/dev/null || echo unknown)
LDFLAGS := -X github.com/thorntiller/thorntiller/internal/cli.version=$(VERSION)

export CGO_ENABLED := 1

.PHONY: all build test lint rename-tool fmt fmt-check vet docs demo soak bench clean

all: build

# Builds each program under cmd/.
build:
	mkdir -p bin
	go build -ldflags '$(LDFLAGS)' -o bin/ ./cmd/...

# Everything that CI checks.
test: fmt-check vet lint
	scripts/test.sh

fmt:
	gofmt -w $$(git ls-files -co --exclude-standard '*.go')

fmt-check:
	@unformatted=$$(gofmt -l $$(git ls-files -co --exclude-standard '*.go')) && \
	if [ -n "$$unformatted" ]; then echo "not formatted (run make fmt):"; echo "$$unformatted"; exit 1; fi

vet:
	go vet ./...

lint: $(GOLANGCI_LINT)
	GOLANGCI_LINT_CACHE=$(GOLANGCI_LINT_CACHE) $(GOLANGCI_LINT) run ./...

$(GOLANGCI_LINT):
	GOBIN=$(CURDIR)/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	mv bin/golangci-lint $@

# Installs gopls, which renames an identifier with all its uses:
#     bin/gopls-VERSION rename -w FILE:LINE:COLUMN NEW_NAME
rename-tool: $(GOPLS)

$(GOPLS):
	GOBIN=$(CURDIR)/bin go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv bin/gopls $@

# Writes the pages that are generated from the code.
docs:
	go run ./cmd/thorntiller config reference > docs/CONFIGURATION.md
	go run ./cmd/thorntiller reference logs > docs/LOGS.md
	go run ./cmd/thorntiller reference exit-codes > docs/EXIT_CODES.md

demo: build
	bin/thorntiller-lab demo

soak: build
	bin/thorntiller-lab sim --seeds $(or $(SEEDS),1-2000)
	bin/thorntiller-lab sim --leases --seeds $(or $(SEEDS),1-2000)
	bin/thorntiller-lab sim --same-id --seeds $(or $(SEEDS),1-2000)
	bin/thorntiller-lab sim --late --seeds $(or $(SEEDS),1-2000)
	go test ./internal/directoryapi -run '^$$' -fuzz FuzzHeartbeat -fuzztime 60s
	go test ./internal/directory -run '^$$' -fuzz FuzzPatch -fuzztime 60s

bench: build
	bin/thorntiller-lab bench

clean:
	rm -rf bin
