//! The host of all instances of a process: takes lines, keeps track of batches, and hands each event to its instance. Decides
//! nothing.

use crate::instance::Instance;
use crate::line::{InputError, Line};
use crate::member_pages::MemberPages;
use stackgw_router::api::Time;
use std::collections::HashMap;
use std::fmt::Write;

/// Where a line leaves its batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchState {
    /// More lines are to come.
    Open,
    /// The line was the last one: the reply is due.
    Complete,
}

/// A batch whose lines are coming.
struct Batch {
    now: Time,
    /// Its number, as the wire has it.
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
    /// Takes a line, and writes what comes of it to `reply`.
    ///
    /// # Errors
    /// Where the line is malformed, or not due now.
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
            let problem = "outside a batch: no 'clock' came before it";
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
            "item" => return Err(line.error("item", "belongs to no 'page'")),
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

    /// Takes the end of the input.
    ///
    /// # Errors
    /// Where that was inside a batch.
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
            return Err(line.error("clock", "the batch before has no 'go'"));
        }
        let now = line.integer("NowNs")?;
        let number = line.text("seq")?.to_owned();
        line.integer("seq")?;
        self.batch = Some(Batch { now, number });
        Ok(())
    }

    /// Hands an event to its instance.
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
