//! A folder of its own for each test, and one owner of stores.

use stackgw_sessions::{NodeId, Peer};
use stackgw_store::StoreOwner;
use std::path::{Path, PathBuf};

/// A temporary folder, removed when it is dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let name = format!("stackgw-store-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Where the store is.
    pub fn store(&self) -> PathBuf {
        self.0.join("g0.redb")
    }
}

impl Drop for Folder {
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
