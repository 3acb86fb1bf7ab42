use super::*;

fn start(record: &Record) {
    record.start(Entry::default());
}

/// Guards against a run without an end that seems to last until the record is read, because it was
/// recorded after the exit of its process, on another thread.
#[test]
fn nothing_is_recorded_after_the_exit() {
    let dir = tempfile::tempdir().expect("a directory can be created");
    let path = dir.path().join("record");
    let record = std::sync::Arc::new(Record::with_file(Some(&path)));
    start(&record);
    record.exit();
    let other = std::sync::Arc::clone(&record);
    std::thread::spawn(move || start(&other));
    std::thread::sleep(std::time::Duration::from_millis(100));
    let text = std::fs::read_to_string(&path).expect("the record exists");
    let entries = join_events(&text).expect("each line is an event");
    assert_eq!(entries.len(), 1, "{text}");
    assert!(entries[0].end_us.is_some(), "{text}");
}
