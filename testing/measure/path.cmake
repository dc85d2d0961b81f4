# measure-path measures throughput and latency of the packet path on loopback.
add_executable(measure-path ${CMAKE_CURRENT_LIST_DIR}/path.cpp)
target_include_directories(measure-path PRIVATE ${PROJECT_SOURCE_DIR}/src)
target_compile_options(measure-path PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(measure-path PRIVATE sassafrasknot_transport)
