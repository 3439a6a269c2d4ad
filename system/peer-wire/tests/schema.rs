//! The committed generated code matches the schema.

use std::path::Path;
use std::process::Command;

/// Where the Cap'n Proto compiler is not installed, this prints so and compares nothing.
#[test]
fn the_committed_code_matches_the_schema() {
    if Command::new("capnp").arg("--version").output().is_err() {
        println!("not compared: there is no `capnp` on the PATH");
        return;
    }
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("schema");
    std::fs::create_dir_all(&folder).unwrap();
    capnpc::CompilerCommand::new()
        .src_prefix(root.join("schema"))
        .file(root.join("schema/peer.capnp"))
        .output_path(&folder)
        .run()
        .unwrap();
    let made = std::fs::read_to_string(folder.join("peer_capnp.rs")).unwrap();
    let committed = std::fs::read_to_string(root.join("src/peer_capnp.rs")).unwrap();
    assert!(
        made == committed,
        "src/peer_capnp.rs is not what the schema gives: replace it with {}",
        folder.join("peer_capnp.rs").display()
    );
}
