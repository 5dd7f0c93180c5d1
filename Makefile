.PHONY: build test lint run
build:
	cargo build --locked --release
lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --document-private-items
test: lint build
	cargo test --locked
run: build
	GW_CONFIG=examples/platform.json target/release/storage-gateway
