//! Shims in C that are preloaded into a gateway's process, to change what its system calls return.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Compiles the shim of this name into a folder of its own for this test, and returns the library.
pub fn compile_shim(shim: &str, test: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("stackgw-{shim}-{}-{test}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let library = folder.join("shim.so");
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/shims");
    let mut compiler = Command::new("cc");
    compiler.args(["-shared", "-fPIC", "-o"]).arg(&library);
    compiler
        .arg(sources.join(shim).with_extension("c"))
        .arg("-ldl");
    let status = compiler.status().expect("a C compiler");
    assert!(status.success(), "the shim {shim} does not compile");
    library
}
