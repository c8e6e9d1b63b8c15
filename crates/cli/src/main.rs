//! `rosemaryctl`: operator command line over the administration API.
//!
//! Exit codes: 0 done, 1 refused, 2 wrong usage, 3 conflict with another change, 4 the server can't
//! be reached or can't tell whether the change was made.

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
    let answer = server.call(&request)?;
    Ok(match arguments.json {
        true => format!("{answer:#}\n"),
        false => command::text(&arguments.command, &answer),
    })
}
