//! The agent that has the list of members: its watches get the whole list and then what changes, and an empty line now and
//! then.

use crate::store::{lock, GROUP};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// A list that changes.
pub(crate) struct Agent {
    addresses: Vec<SocketAddr>,
    /// By member: its phase, since when it has been up in Unix milliseconds (0: long ago), and the version that this came with.
    phases: Mutex<(u64, Vec<Entry>)>,
    changed: Condvar,
}

type Entry = (&'static str, u64, u64);

/// Between empty lines of a watch.
const BLANK: Duration = Duration::from_secs(2);

impl Agent {
    /// Lists members at these addresses, the first one as the primary, at the address that it gives.
    pub(crate) fn start(addresses: &[SocketAddr]) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let phases = Mutex::new((1, vec![("ready", 0, 1); addresses.len()]));
        let agent = Arc::new(Agent { addresses: addresses.to_vec(), phases, changed: Condvar::new() });
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let serves = agent.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let agent = serves.clone();
                std::thread::spawn(move || agent.serve(socket));
            }
        });
        Ok((agent, at))
    }

    pub(crate) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    pub(crate) fn announce(&self, n: usize, phase: &'static str, up_since_ms: u64) {
        let mut phases = lock(&self.phases);
        let version = phases.0 + 1;
        if let Some(entry) = phases.1.get_mut(n) {
            *entry = (phase, up_since_ms, version);
            phases.0 = version;
        }
        drop(phases);
        self.changed.notify_all();
    }

    /// What has changed after a version, and the version it is then.
    fn list(&self, after: u64) -> (u64, String) {
        let phases = lock(&self.phases);
        let news = phases.1.iter().enumerate().filter(|(_, (.., version))| *version > after);
        let entry = |(n, (phase, since, _)): (usize, &Entry)| {
            let (at, role) = (self.addresses[n], if n == 0 { "leader" } else { "follower" });
            format!(
                r#"{{"id":"m{n}","host_port":"{at}","locality":"room","flavor":"f","cell":{GROUP},"phase":"{phase}","size":1.0,"up_since_ms":{since},"role":"{role}"}}"#
            )
        };
        let members: Vec<_> = news.map(entry).collect();
        let (revision, complete) = (phases.0, after == 0);
        let members = members.join(",");
        (revision, format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#))
    }

    fn serve(&self, mut socket: TcpStream) {
        let mut line = String::new();
        let _ = BufReader::new(&socket).read_line(&mut line);
        let (mut version, list) = self.list(0);
        let chunk = |body: &str| format!("{:x}\r\n{body}\r\n", body.len());
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut sent = socket.write_all(format!("{head}{}", chunk(&format!("{list}\n"))).as_bytes());
        while sent.is_ok() && line.contains("watch") {
            let phases = lock(&self.phases);
            let waited = self.changed.wait_timeout_while(phases, BLANK, |phases| phases.0 == version);
            drop(waited.unwrap_or_else(PoisonError::into_inner));
            let (now, list) = self.list(version);
            let line = if now == version { "\n".to_owned() } else { format!("{list}\n") };
            version = now;
            sent = socket.write_all(chunk(&line).as_bytes());
        }
    }
}
