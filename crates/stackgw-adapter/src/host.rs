//! The host of all instances of a process: reads lines, keeps track of batches, and passes each event to its instance. It makes
//! no decisions.

use crate::instance::Instance;
use crate::line::{InputError, Line};
use crate::member_pages::MemberPages;
use stackgw_router::api::Time;
use std::collections::HashMap;
use std::fmt::Write;

/// The state of a batch after a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchState {
    /// The batch has more lines.
    Open,
    /// The line was the last one of its batch; the reply must be sent.
    Complete,
}

/// A batch that is being received.
struct Batch {
    now: Time,
    /// The batch number, as received.
    number: String,
}

/// All instances of this process.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    pages: MemberPages,
    batch: Option<Batch>,
}

impl Host {
    /// Handles a line, and appends the resulting lines to `reply`.
    ///
    /// # Errors
    /// If the line is malformed, or not allowed at this point of the input.
    pub fn handle_line(
        &mut self,
        number: u64,
        text: &str,
        reply: &mut String,
    ) -> Result<BatchState, InputError> {
        let line = Line::parse(number, text)?;
        if self.pages.add_entry(&line)? {
            return Ok(BatchState::Open);
        }
        if line.name == "clock" {
            self.begin_batch(&line)?;
            return Ok(BatchState::Open);
        }
        let Some(batch) = &self.batch else {
            let problem = "outside a batch: no 'clock' line precedes it";
            return Err(line.error(line.name, problem));
        };
        let now = batch.now;
        match line.name {
            "go" => {
                let _ = writeln!(reply, "done seq={}", batch.number);
                self.batch = None;
                return Ok(BatchState::Complete);
            }
            "page" => self.pages.begin_page(&line)?,
            "item" => return Err(line.error("item", "does not belong to a 'page' line")),
            "power_on" => {
                let name = line.text("GatewayId")?.to_owned();
                self.instances.insert(name, Instance::start(&line)?);
            }
            "halt" => {
                self.instances.remove(line.text("GatewayId")?);
            }
            _ => self.handle_event(&line, now, reply)?,
        }
        Ok(BatchState::Open)
    }

    /// Handles the end of the input.
    ///
    /// # Errors
    /// If the input ends inside a batch.
    pub fn end(&self, number: u64) -> Result<(), InputError> {
        match &self.batch {
            None => Ok(()),
            Some(batch) => Err(InputError {
                line: number,
                field: "go".into(),
                problem: format!("input ended inside batch {}", batch.number),
            }),
        }
    }

    fn begin_batch(&mut self, line: &Line) -> Result<(), InputError> {
        if self.batch.is_some() {
            return Err(line.error("clock", "the previous batch has no 'go' line"));
        }
        let now = line.integer("NowNs")?;
        let number = line.text("seq")?.to_owned();
        line.integer("seq")?;
        self.batch = Some(Batch { now, number });
        Ok(())
    }

    /// Passes an event to its instance.
    fn handle_event(
        &mut self,
        line: &Line,
        now: Time,
        reply: &mut String,
    ) -> Result<(), InputError> {
        let name = line.text("GatewayId")?;
        let Some(instance) = self.instances.get_mut(name) else {
            let problem = format!("no instance '{name}' is running");
            return Err(line.error("GatewayId", problem));
        };
        if let Some(event) = instance.parse_event(line, &self.pages, now)? {
            instance.handle(name, now, event, reply);
        }
        Ok(())
    }
}
