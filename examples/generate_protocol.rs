//! Generates `src/wire/generated.rs` from `proto/bitternlead.proto`.
//!
//! Run it from the root of the repository after a change to the messages. It needs no `protoc`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(["proto/bitternlead.proto"], ["proto"])?;
    let out_dir = tempfile::tempdir()?;
    let mut config = prost_build::Config::new();
    config.out_dir(out_dir.path()).bytes(["."]);
    config.compile_fds(descriptors)?;
    let generated = std::fs::read_to_string(out_dir.path().join("bitternlead.rs"))?;
    std::fs::write("src/wire/generated.rs", generated)?;
    Ok(())
}
