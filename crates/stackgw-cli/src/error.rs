//! The result type of commands.

use std::error::Error;

/// The result of a command. Errors are boxed because the command line only prints them; the libraries have typed errors.
pub type CommandResult<T = ()> = Result<T, Box<dyn Error>>;
