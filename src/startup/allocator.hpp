// How the C library's allocator is to treat memory that the program frees.
#pragma once

namespace quillgrade::startup {

// Large blocks go back to the system when they are freed, at the cost of a system call each. Without it the
// allocator raises the size from which blocks do so as it meets larger ones, and keeps what was freed between
// blocks in use: a limit on bytes held is then none on the process's memory. To be called before anything
// large is allocated.
void return_large_blocks();

}  // namespace quillgrade::startup
