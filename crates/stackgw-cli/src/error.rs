//! How a command fails: with whatever error, which the user gets in one line.

use std::error::Error;

/// The result of a command. This is the program's outermost edge, where errors are text for people; libraries have types of their
/// own.
pub type CommandResult<T = ()> = Result<T, Box<dyn Error>>;
