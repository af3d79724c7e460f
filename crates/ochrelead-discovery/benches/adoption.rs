//! From a file's last byte to its adoption, beside the watcher's floor: the first event of a bare watcher on the
//! same rewrites. Prints both as quantiles and as a ratio of this run.

use std::fs;
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use notify::{RecursiveMode, Watcher};
use ochrelead_core::time::Moment;
use ochrelead_discovery::reloader::EndpointReloader;
use ochrelead_discovery::watch;

const REWRITES: u64 = 2_000;
const GAP: Duration = Duration::from_millis(10);

fn text(generation: u64) -> String {
    let server = |index: u64| {
        format!(
            "server {{ name: \"s{index}\" address: \"127.0.0.1:{}\" number: {index} weight: 2 }}\n",
            10 + index
        )
    };
    let servers: String = (0..5).map(server).collect();
    format!("generation: {generation}\n{servers}end: {generation}\n")
}

fn main() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("adoption");
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder of our own");
    let file = folder.join("a.textproto");
    fs::write(&file, text(1)).expect("a file of our own");
    let readings = watch::start(folder.clone()).expect("a thread");
    let (event_sender, events) = mpsc::channel();
    let mut watcher = notify::recommended_watcher(move |_| event_sender.send(Instant::now()).unwrap_or(()))
        .expect("a watcher");
    watcher.watch(&folder, RecursiveMode::NonRecursive).expect("a folder to watch");
    thread::sleep(Duration::from_millis(200));
    let mut reloader = EndpointReloader::new(vec!["check".to_owned()], None);
    let histogram = || Histogram::<u64>::new_with_bounds(1, 10_000_000, 3).expect("sound bounds");
    let (mut floor, mut adopted) = (histogram(), histogram());
    let begun = Instant::now();
    for generation in 2..REWRITES + 2 {
        while events.try_recv().is_ok() {}
        fs::write(&file, text(generation)).expect("a file of our own");
        let written = Instant::now();
        if let Ok(event) = events.recv_timeout(Duration::from_millis(50)) {
            let _ = floor.record(event.saturating_duration_since(written).as_micros().max(1) as u64);
        }
        while reloader.in_force().generation() != generation && written.elapsed() < Duration::from_secs(1) {
            match readings.try_recv() {
                Ok(files) => {
                    let now = Moment::from_micros(begun.elapsed().as_micros() as u64);
                    drop(reloader.handle_files(now, files));
                }
                Err(_) => thread::sleep(Duration::from_micros(20)),
            }
        }
        let _ = adopted.record(written.elapsed().as_micros() as u64);
        thread::sleep(GAP.saturating_sub(written.elapsed()));
    }
    for (name, times) in [("first event", &floor), ("adopted", &adopted)] {
        let quantile = |share| times.value_at_quantile(share);
        println!(
            "{name}: {} cases, p50 {} us, p99 {} us, most {} us",
            times.len(),
            quantile(0.5),
            quantile(0.99),
            times.max()
        );
    }
    println!("most against the bound of 250 ms: {:.3}", adopted.max() as f64 / 250_000.0);
}
