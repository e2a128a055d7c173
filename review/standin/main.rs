//! Plays one case of the review: standin CASE RECORD. Ends with 1 if the rule was broken, 0 if it held and 2
//! if the case couldn't run. With TROUBLE=0 the disruption is left out.

mod http;
mod json;
mod record;
mod runner;
mod site;
mod store;

mod cases;

use std::path::Path;
use std::sync::Arc;

use record::Record;

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(path)) = (words.next(), words.next()) else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let record = Arc::new(Record::create(Path::new(&path)));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = cases::run(&case, &record, trouble);
    let code = match &result {
        Ok(breaches) if breaches.is_empty() => 0,
        Ok(_) => 1,
        Err(_) => 2,
    };
    match result {
        Ok(breaches) => {
            for breach in breaches.iter().take(20) {
                record.line(&format!("breach {breach}"));
                println!("breach: {breach}");
            }
            println!("case={case} trouble={trouble} breaches={}", breaches.len());
        }
        Err(reason) => println!("case={case} could not run: {reason}"),
    }
    record.line(&format!("result code={code}"));
    std::process::exit(code);
}
