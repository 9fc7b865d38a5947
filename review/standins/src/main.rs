//! Runs one case of the review: `review-case CASE RECORD`. Exits with 1 if a rule was broken, with 0
//! if it held, and with 2 if the case could not run. With `TROUBLE=0` the case runs without its
//! disruption.

mod endless_stream;
mod fleet;
mod http;
mod lapsed_entries;
mod poison_part;
mod poison_request;
mod replica;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: review-case CASE RECORD");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = match case.as_str() {
        "1" => lapsed_entries::run(record, is_troubled),
        "2" => poison_part::run(record, is_troubled),
        "3" => endless_stream::run(record, is_troubled),
        "5" => poison_request::run(record, is_troubled),
        _ => Err(std::io::Error::other("unknown case")),
    };
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
