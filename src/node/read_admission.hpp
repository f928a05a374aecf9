// Which connections may be read from while an account of memory is under pressure. A reader is admitted if
// all that its message still lacks has room beside what the readers before it lack, so that admitted messages
// come whole within the limit and give their memory back; a bound on pieces alone could fill memory with
// beginnings.
//
// The oldest message comes first, so that small ones can't keep a large one waiting for good. One whose
// sender was read from and has sent nothing for a while comes after those that progress.
#pragma once

#include <cstddef>
#include <span>

#include "control.hpp"

namespace quillgrade::node {

struct Reader {
    std::size_t remaining = 0;  // bytes that its message lacks, as far as is known: no fewer
    Micros since = 0;           // when the message began
    bool stalled = false;       // it could send and did not
    bool admitted = false;      // set by admit_readers()
};

// `available`: bytes that the account has room for.
void admit_readers(std::span<Reader> readers, std::size_t available);

}  // namespace quillgrade::node
