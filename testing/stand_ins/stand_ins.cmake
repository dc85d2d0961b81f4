# Test programs that replace the packet fabric and the upstreams. They use the
# user-space TCP and the messages of the load tool (sassafrasknotctl).
set(stand_ins_dir ${CMAKE_CURRENT_LIST_DIR})
file(GLOB stand_ins_sources CONFIGURE_DEPENDS ${stand_ins_dir}/fabric*.cpp
  ${stand_ins_dir}/upstream*.cpp ${stand_ins_dir}/program.cpp
  ${stand_ins_dir}/load_messages_test.cpp)
set(stand_ins_tests ${stand_ins_sources})
list(FILTER stand_ins_sources EXCLUDE REGEX "_(test|main)\\.cpp$")
list(FILTER stand_ins_tests INCLUDE REGEX "_test\\.cpp$")

add_library(sassafrasknot_stand_ins STATIC ${stand_ins_sources})
target_include_directories(sassafrasknot_stand_ins PUBLIC ${stand_ins_dir})
target_compile_options(sassafrasknot_stand_ins PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(sassafrasknot_stand_ins PUBLIC sassafrasknotctl_lib)

foreach(name fabric upstreams)
  set(target sassafrasknot-test-${name})
  add_executable(${target} ${stand_ins_dir}/${name}_main.cpp)
  target_compile_options(${target} PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
  target_link_libraries(${target} PRIVATE sassafrasknot_stand_ins)
  set_target_properties(${target} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endforeach()

sassafrasknot_tests(sassafrasknot_stand_ins_test "${stand_ins_tests}"
  sassafrasknot_stand_ins)
