//! The watch of the list: however an agent fails, and at whatever moment it comes back, what it then has is told here within
//! six seconds.

mod common;

use common::*;
use stackgw_gateway::discovery::{WatchEvent, WatchParser};
use stackgw_gateway::reducer::{Effect, Input};
use stackgw_router::api::{Span, Time, MS, SECOND};

/// How a watch that is opened while the agent is down goes on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AgentFailure {
    /// The connection is refused.
    Refuses,
    /// It never comes up.
    Swallows,
    /// It comes up and nothing follows: no head, half of one, half a chunk, half a line, or bytes that are no whole line.
    Stalls,
    /// It comes up and ends after this long.
    Cuts(Span),
}

/// What the watch that was open did when the agent went down.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LastSign {
    /// It ended.
    Ends,
    /// It fell silent after a last blank line so long before.
    FellSilent(Span),
}

/// An agent that goes down at one moment and can be reached again from another on.
struct Agent {
    down: AgentFailure,
    open: LastSign,
    from: Time,
    back: Time,
    /// The open watch's next word.
    next: Option<(Time, Input)>,
}

impl Agent {
    fn opened(&mut self, now: Time, harness: &mut ReducerHarness) {
        self.next = None;
        if now < self.from {
            harness.input(Input::WatchConnected);
            self.next = Some((now + 2 * SECOND, Input::WatchKeepalive));
        } else if now >= self.back {
            harness.input(Input::WatchConnected);
            let drains = list(2, false, &[entry(2, "draining", "follower")]);
            self.next = Some((now + MS, Input::EndpointList(drains)));
        } else {
            match self.down {
                AgentFailure::Refuses => {
                    self.next = Some((now, Input::WatchLost("refused".into())))
                }
                AgentFailure::Swallows => {}
                AgentFailure::Stalls => drop(harness.input(Input::WatchConnected)),
                AgentFailure::Cuts(after) => {
                    harness.input(Input::WatchConnected);
                    self.next = Some((now + after, Input::WatchLost("cut off".into())));
                }
            }
        }
    }
}

/// How many instances the fleet of [`harness_of_instance`] has.
const FLEET_SIZE: u32 = 1000;

/// An instance that knows nothing yet, so that only the watch is at work.
fn harness_of_instance(index: u32) -> ReducerHarness {
    let mut config = config("null");
    config.seed = index.into();
    let settings = &mut config.settings.router;
    (settings.instance_index, settings.fleet_size) = (index, FLEET_SIZE);
    ReducerHarness::with(config)
}

/// How long after its return the agent's word of a drain is taken.
fn delay_until_applied(instance: u32, open: LastSign, down: AgentFailure, lasts: Span) -> Span {
    let mut harness = harness_of_instance(instance);
    let from = harness.now + 6 * SECOND;
    let mut agent = Agent {
        down,
        open,
        from,
        back: from + lasts,
        next: None,
    };
    let mut opens = 1;
    let mut gone = false;
    loop {
        for _ in 0..std::mem::take(&mut opens) {
            agent.opened(harness.now, &mut harness);
        }
        if !gone && harness.now >= from {
            gone = true;
            match agent.open {
                LastSign::Ends => {
                    agent.next = Some((harness.now, Input::WatchLost("ended".into())))
                }
                // Its last line came that long ago.
                LastSign::FellSilent(_) => agent.next = None,
            }
        }
        let next = agent.next.as_ref().map(|(at, _)| *at);
        let moments = [
            next,
            harness.reducer.next_due(),
            Some(from).filter(|_| !gone),
        ];
        let until = moments
            .into_iter()
            .flatten()
            .min()
            .expect("the look at what stands still");
        let mut effects = harness.advance((until - harness.now).max(0));
        if agent
            .next
            .as_ref()
            .is_some_and(|(at, _)| *at <= harness.now)
        {
            let (at, input) = agent.next.take().expect("a word");
            if matches!(input, Input::WatchKeepalive) {
                let before = match agent.open {
                    LastSign::FellSilent(before) => before,
                    LastSign::Ends => 0,
                };
                let next = at + 2 * SECOND;
                let last = next > from - before;
                agent.next = (!last).then_some((next, Input::WatchKeepalive));
            }
            effects.extend(harness.input(input));
        }
        if harness.reducer.counters().lists > 0 {
            return harness.now - agent.back.max(from);
        }
        assert!(harness.now < agent.back + 20 * SECOND, "never told");
        opens = effects
            .iter()
            .filter(|e| matches!(e, Effect::OpenWatch(..)))
            .count();
    }
}

/// Found by reading: a dial swallowed just before the agent's return had 5 s and up to half a second from a clock of silence that
/// the dial itself had set anew, and a pause of a second came behind that.
#[test]
fn a_change_is_told_six_seconds_after_the_agent_can_be_reached_however_it_was_down() {
    let opens = [
        LastSign::Ends,
        LastSign::FellSilent(0),
        LastSign::FellSilent(SECOND),
        LastSign::FellSilent(1990 * MS),
    ];
    let downs = [
        AgentFailure::Refuses,
        AgentFailure::Swallows,
        AgentFailure::Stalls,
        AgentFailure::Cuts(0),
        AgentFailure::Cuts(400 * MS),
        AgentFailure::Cuts(2500 * MS),
    ];
    let mut worst = (0, String::new());
    for open in opens {
        for down in downs {
            // Every phase of the pauses and clocks, also where these have grown to their longest.
            for phase in 0..240 {
                let lasts = phase * 50 * MS;
                // Other draws and another slot for each.
                let instance = phase as u32 * 619 % FLEET_SIZE;
                let told = delay_until_applied(instance, open, down, lasts);
                worst = worst.max((
                    told,
                    format!("{open:?}, {down:?}, down for {} ms", lasts / MS),
                ));
            }
        }
    }
    assert!(worst.0 <= 5500 * MS, "{} ms: {}", worst.0 / MS, worst.1);
}

/// The rule's six seconds begin when the watch falls silent, as an agent that is there sends blank lines.
#[test]
fn a_silent_watch_is_opened_anew_at_once_and_only_whole_lines_count() {
    let mut harness = ReducerHarness::new(&three_members());
    harness.input(Input::WatchConnected);
    harness.advance(2 * SECOND);
    harness.input(Input::WatchKeepalive);
    let opened = |effects: &[Effect]| {
        effects
            .iter()
            .filter(|e| matches!(e, Effect::OpenWatch(..)))
            .count()
    };
    assert_eq!(
        opened(&harness.advance(3990 * MS)),
        0,
        "two blank lines may be late"
    );
    let effects = harness.advance(150 * MS);
    assert!(effects.contains(&Effect::CloseWatch) && opened(&effects) == 1);
}

/// Where the list is at a new address it counts four seconds after the signal, whatever the first try there meets.
#[test]
fn a_moved_list_is_told_within_four_seconds_of_the_signal() {
    for up in [false, true] {
        let mut harness = ReducerHarness::new(&three_members());
        let text = config_text("null").replace("127.0.0.1:8500", "127.0.0.1:8600");
        let config =
            stackgw_gateway::config::Config::from_text(&text, |_| None).expect("a configuration");
        harness.input(Input::Reload(Ok(Box::new(config))));
        if up {
            harness.input(Input::WatchConnected);
        }
        let effects = harness.advance(3500 * MS);
        assert!(
            effects.iter().any(|e| matches!(e, Effect::OpenWatch(..))),
            "up: {up}"
        );
    }
}

#[test]
fn a_list_may_come_over_many_lines_and_one_that_is_cut_off_swallows_none_behind_it() {
    let one = list_text(3, true, &[entry(1, "ready", "leader")]);
    let value: serde_json::Value = serde_json::from_str(&one).expect("a list");
    let wanted = list(3, true, &[entry(1, "ready", "leader")]);
    let indented = serde_json::to_string_pretty(&value).expect("text");
    let mut objects = WatchParser::new(1 << 20);
    let mut words: Vec<_> = indented
        .lines()
        .map(|line| objects.push_line(line.as_bytes().to_vec()).expect("a line"))
        .collect();
    assert_eq!(words.pop(), Some(WatchEvent::List(wanted.clone())));
    assert!(words.iter().all(|word| *word == WatchEvent::Incomplete));
    assert_eq!(objects.push_line(b"  ".to_vec()), Ok(WatchEvent::Heartbeat));
    assert_eq!(
        objects.push_line(one.clone().into_bytes()),
        Ok(WatchEvent::List(wanted))
    );
    // Brackets and quotes inside a text are text.
    let odd = one.replace("\"room\"", r#""a }]\"{""#);
    assert!(matches!(
        objects.push_line(odd.into_bytes()),
        Ok(WatchEvent::List(_))
    ));
    // Nor does it matter how far the lines are indented.
    let flat: Vec<_> = indented
        .lines()
        .map(|line| objects.push_line(line.trim().into()).expect("a line"))
        .collect();
    assert!(matches!(flat.last(), Some(WatchEvent::List(_))));
    assert!(matches!(
        objects.push_line(format!("  {one}").into_bytes()),
        Ok(WatchEvent::List(_))
    ));
    for behind in ["", &one, "x"] {
        let mut objects = WatchParser::new(1 << 20);
        assert_eq!(
            objects.push_line(one.as_bytes()[..40].to_vec()),
            Ok(WatchEvent::Incomplete)
        );
        assert_eq!(
            objects.push_line(behind.into()).is_err(),
            behind != "x",
            "'{behind}'"
        );
    }
    assert!(
        WatchParser::new(20).push_line(one.into_bytes()).is_err(),
        "a list has its bound"
    );
    assert!(WatchParser::new(1 << 20)
        .push_line(b"nonsense".to_vec())
        .is_err());
}

/// How long after an outage of this length an instance polls the agent.
fn first_poll_after_outage(mut harness: ReducerHarness, lasts: Span) -> Span {
    let ends = harness.now + lasts;
    let mut effects = harness.input(Input::WatchLost("ended".into()));
    loop {
        if effects.iter().any(|e| matches!(e, Effect::OpenWatch(..))) {
            if harness.now >= ends {
                return harness.now - ends;
            }
            effects = harness.input(Input::WatchLost("refused".into()));
        } else {
            let due = harness.reducer.next_due().expect("the backoff's end");
            effects = harness.advance(due - harness.now);
        }
    }
}

/// The most of these polls, each at most a second after an outage, in any of its tenths.
fn peak_of_polls(polls: impl Iterator<Item = Span>) -> u32 {
    let mut counts = [0; 10];
    for after in polls {
        assert!((0..=SECOND).contains(&after), "{} ms", after / MS);
        counts[(after / (100 * MS)).min(9) as usize] += 1;
    }
    counts.into_iter().max().unwrap_or(0)
}

/// Gateways that lost the list service in the same moment came back in the same tenth of a second.
#[test]
fn gateways_poll_evenly_spread_after_an_outage() {
    for seconds in [6, 20, 60] {
        let harnesses = (0..FLEET_SIZE).map(harness_of_instance);
        let peak = peak_of_polls(
            harnesses.map(|harness| first_poll_after_outage(harness, seconds * SECOND)),
        );
        assert!(peak <= FLEET_SIZE * 11 / 100, "{seconds} s: {peak}");
    }
}

/// After a short outage their pauses have not grown to the longest; jitter spreads them.
#[test]
fn gateways_poll_spread_after_a_short_outage() {
    let harnesses = (0..FLEET_SIZE).map(harness_of_instance);
    let peak = peak_of_polls(harnesses.map(|harness| first_poll_after_outage(harness, SECOND)));
    assert!(peak <= FLEET_SIZE * 3 / 10, "{peak}");
}

/// Instances that share number and seed but not a name differ too.
#[test]
fn gateways_with_one_seed_and_other_names_do_not_poll_in_step() {
    let harness_of_name = |n: u32| {
        let mut config = config("null");
        config.name = format!("g{n}");
        // It has no number of its own.
        config.settings.router.instance_index = config.settings.router.fleet_size;
        ReducerHarness::with(config)
    };
    let harnesses = (0..FLEET_SIZE).map(harness_of_name);
    let peak = peak_of_polls(harnesses.map(|harness| first_poll_after_outage(harness, 6 * SECOND)));
    assert!(peak <= FLEET_SIZE * 15 / 100, "{peak}");
}
