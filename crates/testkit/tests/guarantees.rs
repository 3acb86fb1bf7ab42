//! Guards against tests named in docs/guarantees.md that do not exist or are ignored.

use std::path::Path;

#[test]
fn named_tests_exist() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let page = std::fs::read_to_string(crates.join("../docs/guarantees.md")).unwrap();
    let mut count = 0;
    for quoted in page.split('`').skip(1).step_by(2) {
        let Some((file, test)) = quoted.split_once(".rs::") else {
            continue;
        };
        let source = std::fs::read_to_string(crates.join(format!("{file}.rs"))).expect(quoted);
        let (before, _) = source.split_once(&format!("fn {test}(")).expect(quoted);
        let attributes = before.rsplit("\n\n").next().unwrap();
        // With or without arguments, such as the flavor of the runtime.
        let is_test = attributes.contains("test]") || attributes.contains("::test(");
        assert!(is_test, "{quoted} is not a test");
        assert!(!attributes.contains("#[ignore"), "{quoted} is ignored");
        count += 1;
    }
    assert!(count > 50, "the page names only {count} tests");
}
