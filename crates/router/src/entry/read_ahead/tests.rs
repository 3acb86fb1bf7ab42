use super::RequestScanner;
use bytes::BytesMut;

fn scanner() -> RequestScanner {
    RequestScanner {
        unparsed: BytesMut::new(),
        body_left: 0,
        number: 0,
        stopped: false,
    }
}

/// Guards against a request that is started twice, gets a wrong number, or is parsed from the body
/// of another one.
#[test]
fn pipelined_requests_are_split() {
    struct Case {
        name: &'static str,
        bytes: &'static str,
        heads: &'static [(u64, &'static str)],
    }
    let cases = [
        Case {
            name: "two without a body",
            bytes: "GET /a HTTP/1.1\r\nhost: x\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
            heads: &[(0, "/a"), (1, "/b")],
        },
        Case {
            name: "one behind a body that looks like a request",
            bytes: "POST /a HTTP/1.1\r\ncontent-length: 18\r\n\r\nGET /x HTTP/1.1\r\n\rGET /b HTTP/1.1\r\n\r\n",
            heads: &[(1, "/b")],
        },
        Case {
            name: "nothing behind a body of unknown length",
            bytes: "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
            heads: &[],
        },
        Case {
            name: "nothing behind two lengths",
            bytes: "POST /a HTTP/1.1\r\ncontent-length: 0\r\ncontent-length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n",
            heads: &[],
        },
        Case {
            name: "nothing behind malformed bytes",
            bytes: "\u{1}\u{2} nothing\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
            heads: &[],
        },
    ];
    for case in cases {
        for step in [1, 7, 1_000] {
            let mut scanner = scanner();
            let mut heads = Vec::new();
            for chunk in case.bytes.as_bytes().chunks(step) {
                heads.extend(scanner.feed(chunk));
            }
            let heads: Vec<(u64, String)> = heads
                .into_iter()
                .map(|(number, parts)| (number, parts.uri.to_string()))
                .collect();
            let expected: Vec<(u64, String)> = case
                .heads
                .iter()
                .map(|(number, path)| (*number, (*path).to_owned()))
                .collect();
            assert_eq!(heads, expected, "{} in steps of {step}", case.name);
        }
    }
}
