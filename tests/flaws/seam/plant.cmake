# Lays copies of the shipped sources of peers/, shared/ and node/link.cpp into OUT and puts the hooks of hooks.patch
# into them: guards that can be taken out, for tests alone. The shipped files hold none. Fails where a hook finds its
# place no more.
file(REMOVE_RECURSE ${OUT})
file(MAKE_DIRECTORY ${OUT}/node)
file(COPY ${SOURCE}/peers ${SOURCE}/shared DESTINATION ${OUT})
file(COPY ${SOURCE}/node/link.cpp DESTINATION ${OUT}/node)
execute_process(COMMAND patch -p1 --fuzz=0 --no-backup-if-mismatch -s -d ${OUT} -i ${HOOKS} RESULT_VARIABLE failed)
if(failed)
  message(FATAL_ERROR "tests/flaws/seam/hooks.patch does not fit the sources any more")
endif()
