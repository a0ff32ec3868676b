//! What a member can bear: a capacity that is small after a start and grows, a line before it, work that handshakes cost, and
//! the point at which one that is cold falls over. Time is handed in.

use std::collections::VecDeque;
use std::time::Duration;

/// What a member can do. Work is counted in requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartModel {
    /// Requests a second, warm.
    pub per_second: f64,
    /// Share of that right after a start ...
    pub cold_share: f64,
    /// ... from which it grows evenly to all of it in this time.
    pub warm_within: Duration,
    /// Cold, it falls over when more than this multiple of its present capacity comes within `fall_within`.
    pub fall_multiple: f64,
    /// See there.
    pub fall_within: Duration,
    /// What a new connection costs, and a probe.
    pub handshake: f64,
    /// See there.
    pub probe: f64,
    /// Whoever would wait longer than this is turned away.
    pub line: Duration,
    /// For so long one that fell over answers nobody.
    pub down: Duration,
}

impl SlowStartModel {
    /// Requests a second that a member of this age can do; `None`: it has been up for long.
    pub(crate) fn at(&self, age: Option<Duration>) -> f64 {
        let age = age.map_or(1.0, |age| {
            age.as_secs_f64() / self.warm_within.as_secs_f64()
        });
        self.per_second * (self.cold_share + (1.0 - self.cold_share) * age.min(1.0))
    }
}

/// What one member was asked to bear.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ObservedLoad {
    /// When connections were opened to it.
    pub handshakes: Vec<Duration>,
    /// Probes.
    pub probes: u64,
    /// Requests that it took, and those it turned away.
    pub taken: u64,
    /// See there.
    pub shed: u64,
    /// Most work within its fall window, against what makes it fall over: at 1 it does.
    pub worst: f64,
    /// How often it fell over.
    pub fell: u64,
}

/// A member under load.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    can: SlowStartModel,
    started: Option<Duration>,
    free_at: Duration,
    down_until: Duration,
    window: VecDeque<(Duration, f64)>,
    within: f64,
    borne: ObservedLoad,
}

/// What becomes of a piece of work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Took {
    /// Done after so long.
    Done(Duration),
    /// Turned away.
    Shed,
    /// The member is down.
    Down,
}

impl Load {
    /// A member that is warm.
    pub(crate) fn new(can: SlowStartModel) -> Self {
        Load {
            can,
            started: None,
            free_at: Duration::ZERO,
            down_until: Duration::ZERO,
            window: VecDeque::new(),
            within: 0.0,
            borne: ObservedLoad::default(),
        }
    }

    /// Its process has just started.
    pub(crate) fn start(&mut self, now: Duration) {
        self.started = Some(now);
        self.window.clear();
        (self.within, self.free_at) = (0.0, now);
    }

    pub(crate) fn borne(&self) -> ObservedLoad {
        self.borne.clone()
    }

    /// Requests a second that it can do now.
    fn present(&self, now: Duration) -> f64 {
        self.can.at(self.started.map(|at| now - at))
    }

    /// A new connection.
    pub(crate) fn handshake(&mut self, now: Duration) -> Took {
        self.borne.handshakes.push(now);
        self.take(now, self.can.handshake)
    }

    /// A probe.
    pub(crate) fn probe(&mut self, now: Duration) -> Took {
        self.borne.probes += 1;
        self.take(now, self.can.probe)
    }

    /// A request.
    pub(crate) fn request(&mut self, now: Duration) -> Took {
        let took = self.take(now, 1.0);
        match took {
            Took::Done(_) => self.borne.taken += 1,
            _ => self.borne.shed += 1,
        }
        took
    }

    fn take(&mut self, now: Duration, work: f64) -> Took {
        if now < self.down_until {
            return Took::Down;
        }
        let present = self.present(now);
        while self
            .window
            .front()
            .is_some_and(|(at, _)| *at + self.can.fall_within <= now)
        {
            self.within -= self.window.pop_front().map_or(0.0, |(_, work)| work);
        }
        self.window.push_back((now, work));
        self.within += work;
        if self
            .started
            .is_some_and(|at| now < at + self.can.warm_within)
        {
            let bears = self.can.fall_multiple * present * self.can.fall_within.as_secs_f64();
            self.borne.worst = self.borne.worst.max(self.within / bears);
            if self.within > bears {
                self.borne.fell += 1;
                self.down_until = now + self.can.down;
                self.start(self.down_until);
                return Took::Down;
            }
        }
        let free_at = self.free_at.max(now);
        if free_at - now > self.can.line {
            return Took::Shed;
        }
        self.free_at = free_at + Duration::from_secs_f64(work / present);
        Took::Done(self.free_at - now)
    }
}

#[cfg(test)]
#[path = "../tests/unit/slow_start_model.rs"]
mod tests;
