//! Writes `src/wire/generated.rs` from `proto/bitternlead.proto`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = protox::compile(["proto/bitternlead.proto"], ["proto"])?;
    let out = tempfile::tempdir()?;
    let mut config = prost_build::Config::new();
    config.out_dir(out.path()).bytes(["."]);
    config.compile_fds(files)?;
    let code = std::fs::read_to_string(out.path().join("bitternlead.rs"))?;
    std::fs::write("src/wire/generated.rs", code)?;
    Ok(())
}
