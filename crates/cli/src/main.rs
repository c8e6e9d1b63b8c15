//! `rosemaryctl`: command-line client of the administration API for operators.
//!
//! Exit codes: 0 success, 1 rejected, 2 invalid command line, 3 conflict with another change, 4 the
//! server is unreachable or it is unknown whether the change was made.

mod arguments;
mod call;
mod command;
mod table;

use std::process::ExitCode;

use arguments::Arguments;
use call::Failure;

fn main() -> ExitCode {
    let arguments: Arguments = match arguments::parse() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    match run(&arguments) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

fn run(arguments: &Arguments) -> Result<String, Failure> {
    let server = call::Server::new(arguments)?;
    let request = command::request(&arguments.command)?;
    let response = server.call(&request)?;
    Ok(match arguments.json {
        true => format!("{response:#}\n"),
        false => command::format(&arguments.command, &response),
    })
}
