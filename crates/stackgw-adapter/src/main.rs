//! `stackgw-adapter`: routers on standard input and output, one reply for each batch of events.
//!
//! It is the simulator's host: it turns lines into the router's events and its actions into lines, and decides nothing. It has no
//! clock and no sockets; time comes with each batch. Input that is malformed ends it with one line that names line and field.

mod host;
mod instance;
mod line;
mod member_pages;
mod names;
mod reply;

use host::{BatchState, Host};
use line::InputError;
use std::error::Error;
use std::io::{self, BufRead, BufReader, Write};
use std::process::ExitCode;

const INPUT_BUFFER_BYTES: usize = 1 << 16;

fn run() -> Result<(), Box<dyn Error>> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut bytes = Vec::new();
    let mut reply = String::new();
    for number in 1.. {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes)? == 0 {
            host.end(number)?;
            break;
        }
        let line = line_text(number, &bytes)?;
        if host.handle_line(number, line, &mut reply)? == BatchState::Complete {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
            reply.clear();
        }
    }
    Ok(())
}

/// A line without its end, which may be that of another system.
fn line_text(number: u64, bytes: &[u8]) -> Result<&str, InputError> {
    let error = |problem: &str| InputError {
        line: number,
        field: "text".into(),
        problem: problem.into(),
    };
    let text = std::str::from_utf8(bytes).map_err(|_| error("not UTF-8"))?;
    let text = text
        .strip_suffix('\n')
        .ok_or_else(|| error("the line is cut off"))?;
    Ok(text.strip_suffix('\r').unwrap_or(text))
}

fn main() -> ExitCode {
    // A panic is reported on the wire; the default hook would only repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stackgw-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
