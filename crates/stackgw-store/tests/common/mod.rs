//! A temporary directory for each test, and the owner of its stores.

use stackgw_sessions::{NodeId, Peer};
use stackgw_store::StoreOwner;
use std::path::{Path, PathBuf};

/// A temporary directory that is removed when it is dropped.
pub struct TempDir(PathBuf);

impl TempDir {
    pub fn new(name: &str) -> Self {
        let name = format!("stackgw-store-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the directory can be created");
        TempDir(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    /// The path of the store.
    pub fn store(&self) -> PathBuf {
        self.0.join("g0.redb")
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn owner() -> StoreOwner {
    StoreOwner {
        cluster: "depots".to_owned(),
        node: NodeId::of("g0"),
        retention_ms: 60_000,
    }
}

pub fn peer(node: u64, incarnation: u64) -> Peer {
    let node = NodeId(node);
    Peer { node, incarnation }
}
