MODULES := pkg internal/core internal/wire internal/plat internal/daem internal/disp platform internal/node internal/entry internal/stand cmd test
PROGRAMS := gypsumlanding gypentry gypnode gypctl gypstore gyptarget gypload gypdemo gypmeasure gypprove gypsoak
LINT := bin/tools/golangci-lint
LINT_VERSION := v2.15.0
GOPLS := bin/tools/gopls
GOPLS_VERSION := v0.23.0

.PHONY: all build demo bench prove soak test lint gopls clean

all: build

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do (cd cmd && go build -o ../bin/$$p ./$$p) || exit 1; done

demo: build
	@bin/gypdemo

bench: build
	@bin/gypmeasure

# RED is a file that lists tests to pass over, in the form of KNOWN-RED.txt; empty for none.
test:
	@for m in $(MODULES); do \
		skip=$$(.ci/skip $$m $(or $(RED),/dev/null)) || exit 1; \
		(cd $$m && go test -race -timeout 30m -skip "$$skip" ./...) || exit 1; \
	done

prove: build
	@bin/gypprove

# Example: make soak SEED=7 MINUTES=2 SEEDS=3 ENTRIES=9 NODES=48 ATONCE=24
soak: build
	@bin/gypsoak -seed $(or $(SEED),1) -minutes $(or $(MINUTES),1) -seeds $(or $(SEEDS),1) -entries $(or $(ENTRIES),0) -nodes $(or $(NODES),0) -atonce $(or $(ATONCE),0) -keep out/soak

$(LINT):
	GOBIN=$(CURDIR)/bin/tools go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

# gopls is the Go language server. It renames identifiers; no other target needs it.
$(GOPLS):
	GOBIN=$(CURDIR)/bin/tools go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

gopls: $(GOPLS)

lint: $(LINT)
	@for m in $(MODULES); do (cd $$m && $(CURDIR)/$(LINT) run --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

clean:
	rm -rf bin out
