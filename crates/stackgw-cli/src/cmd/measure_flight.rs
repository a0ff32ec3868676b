//! `stackgw measure flight`: what Flight SQL costs through a gateway, against a direct connection and the first protocol.

use super::measure::{cpu_us, peak_mb};
use super::query::{connect, runtime, Sql};
use arrow_flight::FlightData;
use clap::Args;
use futures::{Stream, StreamExt};
use serde::Serialize;
use stackgw_testkit::{Client, FleetConfig, GatewayFleet, Protocol, ReplicaGroup, GROUP};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tonic::{Request, Status};

#[derive(Args)]
pub struct FlightCost {
    /// Rounds; each plays every case once.
    #[arg(long, default_value_t = 3)]
    rounds: u64,
    /// MiB of each bulk stream.
    #[arg(long, default_value_t = 512)]
    mib: u64,
    /// Batches of so many KiB.
    #[arg(long, value_delimiter = ',', default_values_t = [64u64, 256, 1_024])]
    batch_kib: Vec<u64>,
    /// Small statements in each case.
    #[arg(long, default_value_t = 4_000)]
    statements: u64,
    /// Readers that stand still, for the memory that they cost.
    #[arg(long, default_value_t = 100)]
    slow: usize,
    /// Print each case as a line of JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Serialize)]
struct Line {
    round: u64,
    case: String,
    /// What is measured, and its unit.
    figure: &'static str,
    value: f64,
}

/// A group and one gateway before it.
struct World {
    store: Arc<ReplicaGroup>,
    gateways: GatewayFleet,
    folder: std::path::PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        self.gateways.kill(0);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl World {
    fn new(speaks: Protocol) -> Result<Self, String> {
        let folder =
            std::env::temp_dir().join(format!("stackgw-measure-{}-{speaks:?}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let (store, agent) =
            ReplicaGroup::start_speaking(&[10, 20], speaks).map_err(|e| e.to_string())?;
        let gateways = GatewayFleet::start(FleetConfig {
            gateways: 1,
            session_replicas: 1,
            disks: false,
            retention_ms: 2_000,
            flight: true,
            speaks,
            ..FleetConfig::new(
                std::env::current_exe().map_err(|e| e.to_string())?,
                folder.clone(),
                vec![agent],
            )
        })?;
        // Until its caution at start is over.
        std::thread::sleep(Duration::from_millis(2_500));
        Ok(World {
            store,
            gateways,
            folder,
        })
    }

    fn flight(&self) -> Result<SocketAddr, String> {
        self.gateways
            .flight(0)
            .ok_or_else(|| "the gateway has no Flight SQL".to_owned())
    }

    fn cpu(&self) -> f64 {
        self.gateways.pid(0).and_then(cpu_us).unwrap_or_default()
    }
}

type Messages = std::pin::Pin<Box<dyn Stream<Item = Result<FlightData, Status>>>>;

/// Begins a stream, at a gateway or at a member; comes again where it is refused.
async fn begin(client: &mut Sql, batches: u64, bytes: u64) -> Result<Messages, String> {
    let text = format!(
        "SELECT val FROM state WHERE uid = 'bulk-{batches}-{bytes}' /* id=m{:x},c=look,d=600000,cluster={GROUP} */",
        rand::random::<u64>()
    );
    let since = Instant::now();
    loop {
        let began = async {
            let info = client
                .execute(text.clone(), None)
                .await
                .map_err(|e| e.to_string())?;
            let ticket = info
                .endpoint
                .into_iter()
                .next()
                .and_then(|e| e.ticket)
                .ok_or("no ticket")?;
            let answer = client
                .inner_mut()
                .do_get(Request::new(ticket))
                .await
                .map_err(|e| e.to_string())?;
            Ok::<Messages, String>(Box::pin(answer.into_inner()))
        };
        match began.await {
            Ok(stream) => return Ok(stream),
            Err(why) if since.elapsed() > Duration::from_secs(10) => return Err(why),
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn drain(stream: &mut Messages) -> Result<u64, String> {
    let mut bytes = 0;
    while let Some(data) = stream.next().await {
        bytes += data.map_err(|e| e.to_string())?.data_body.len() as u64;
    }
    Ok(bytes)
}

impl FlightCost {
    /// Runs it and prints the figures.
    pub fn run(self) -> Result<(), String> {
        let mut lines = Vec::new();
        for round in 0..self.rounds {
            let world = World::new(Protocol::FlightSql)?;
            let mut say = |case: String, figure, value| {
                let line = Line {
                    round,
                    case,
                    figure,
                    value,
                };
                if self.json {
                    println!("{}", serde_json::to_string(&line).unwrap_or_default());
                }
                lines.push(line);
            };
            for kib in &self.batch_kib {
                let (direct, through) = self.bulk(&world, *kib)?;
                say(format!("{kib} KiB, direct"), "MiB/s", direct);
                say(format!("{kib} KiB, through"), "MiB/s", through);
                say(
                    format!("{kib} KiB, through over direct"),
                    "ratio",
                    through / direct,
                );
            }
            say("cancel to stop".to_owned(), "ms", self.cancel(&world)?);
            say(
                format!("{} slow readers, peak", self.slow),
                "MiB",
                self.memory(&world)?,
            );
            drop(world);
            let world = World::new(Protocol::Postgres)?;
            let first = self.small(&world, false)?;
            let flight = self.small(&world, true)?;
            say(
                "small statements, first protocol".to_owned(),
                "per CPU second",
                first,
            );
            say(
                "small statements, Flight SQL".to_owned(),
                "per CPU second",
                flight,
            );
        }
        if !self.json {
            table(&lines);
        }
        Ok(())
    }

    /// MiB a second from the member itself and through the gateway, in turn.
    fn bulk(&self, world: &World, kib: u64) -> Result<(f64, f64), String> {
        let member = world.store.addresses()[1];
        let gateway = world.flight()?;
        let one = |at: SocketAddr| {
            runtime()?.block_on(async {
                let mut client = connect(at).await?;
                drain(&mut begin(&mut client, 4, kib << 10).await?).await?;
                let since = Instant::now();
                let bytes =
                    drain(&mut begin(&mut client, (self.mib << 10) / kib, kib << 10).await?)
                        .await?;
                Ok::<_, String>(bytes as f64 / (1 << 20) as f64 / since.elapsed().as_secs_f64())
            })
        };
        Ok((one(member)?, one(gateway)?))
    }

    /// From a client's cancel to the last work at a member, in milliseconds.
    fn cancel(&self, world: &World) -> Result<f64, String> {
        let at = world.flight()?;
        runtime()?.block_on(async {
            let mut client = connect(at).await?;
            let mut stream = begin(&mut client, 1_000_000, 64 << 10).await?;
            for _ in 0..50 {
                stream
                    .next()
                    .await
                    .ok_or("it ended")?
                    .map_err(|e| e.to_string())?;
            }
            let since = Instant::now();
            drop(stream);
            while world
                .store
                .members
                .iter()
                .any(|m| m.running.load(Ordering::Relaxed) > 0)
            {
                if since.elapsed() > Duration::from_secs(10) {
                    return Err("the work did not stop".to_owned());
                }
                tokio::time::sleep(Duration::from_micros(100)).await;
            }
            Ok(since.elapsed().as_secs_f64() * 1_000.0)
        })
    }

    /// The gateway's peak memory with readers that stand still.
    fn memory(&self, world: &World) -> Result<f64, String> {
        let at = world.flight()?;
        runtime()?.block_on(async {
            let mut slow = Vec::new();
            for _ in 0..self.slow {
                let mut client = connect(at).await?;
                let mut stream = begin(&mut client, 1_000_000, 64 << 10).await?;
                stream
                    .next()
                    .await
                    .ok_or("it ended")?
                    .map_err(|e| e.to_string())?;
                slow.push(stream);
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
            Ok::<_, String>(())
        })?;
        Ok(world.gateways.pid(0).and_then(peak_mb).unwrap_or_default())
    }

    /// Small reads for each second of the gateway's processor time.
    fn small(&self, world: &World, flight: bool) -> Result<f64, String> {
        let text = |n: u64| {
            let tag = rand::random::<u64>();
            format!(
                "SELECT val FROM state WHERE uid = 'k' /* id=s{tag:x}-{n},c=look,d=1000,cluster={GROUP} */"
            )
        };
        let before;
        if flight {
            let at = world.flight()?;
            before = world.cpu();
            runtime()?.block_on(async {
                let mut client = connect(at).await?;
                for n in 0..self.statements {
                    let info = client
                        .execute(text(n), None)
                        .await
                        .map_err(|e| e.to_string())?;
                    let ticket = info
                        .endpoint
                        .into_iter()
                        .next()
                        .and_then(|e| e.ticket)
                        .ok_or("no ticket")?;
                    let answer = client.inner_mut().do_get(Request::new(ticket)).await;
                    drain(
                        &mut (Box::pin(answer.map_err(|e| e.to_string())?.into_inner())
                            as Messages),
                    )
                    .await?;
                }
                Ok::<_, String>(())
            })?;
        } else {
            let at = world
                .gateways
                .address(0)
                .ok_or("the gateway does not run")?;
            before = world.cpu();
            let mut client = Client::connect(at).ok_or("no connection")?;
            for n in 0..self.statements {
                client.ask(&text(n));
            }
        }
        Ok(self.statements as f64 / ((world.cpu() - before) / 1e6).max(0.01))
    }
}

/// Medians over the rounds, with the least and the most.
fn table(lines: &[Line]) {
    println!("| case | figure | median (least to most) |");
    println!("| --- | --- | --- |");
    let mut done = Vec::new();
    for line in lines {
        if done.contains(&(&line.case, line.figure)) {
            continue;
        }
        done.push((&line.case, line.figure));
        let same = lines
            .iter()
            .filter(|l| (&l.case, l.figure) == (&line.case, line.figure));
        println!(
            "| {} | {} | {} |",
            line.case,
            line.figure,
            super::measure::spread(same.map(|l| l.value), 2)
        );
    }
}
