//! `stackgw-adapter`: routers on standard input and output, one reply for each batch of events.

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::Malformed;

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = host::Host::default();
    let (mut bytes, mut reply, mut number) = (Vec::new(), String::new(), 0);
    loop {
        bytes.clear();
        number += 1;
        if input.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(host.end(number)?);
        }
        let wrong = |problem: &str| Malformed {
            line: number,
            field: "text".into(),
            problem: problem.into(),
        };
        let text = std::str::from_utf8(&bytes).map_err(|_| wrong("not UTF-8"))?;
        let text = text
            .strip_suffix('\n')
            .ok_or_else(|| wrong("the line is cut off"))?;
        if host.line(number, text.strip_suffix('\r').unwrap_or(text), &mut reply)? {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
            reply.clear();
        }
    }
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
