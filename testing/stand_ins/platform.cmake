# Test replacement of the platform's configuration service, with the tests of it
# and of its client.
set(platform_dir ${CMAKE_CURRENT_LIST_DIR})
add_library(sassafrasknot_test_platform_lib STATIC
  ${platform_dir}/platform_server.cpp ${platform_dir}/platform_store.cpp)
target_include_directories(sassafrasknot_test_platform_lib PUBLIC ${platform_dir})
target_compile_options(sassafrasknot_test_platform_lib
  PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(sassafrasknot_test_platform_lib PUBLIC sassafrasknot_transport)

add_executable(sassafrasknot-test-platform ${platform_dir}/platform_main.cpp)
target_compile_options(sassafrasknot-test-platform
  PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(sassafrasknot-test-platform
  PRIVATE sassafrasknot_test_platform_lib PkgConfig::POPT)
set_target_properties(sassafrasknot-test-platform PROPERTIES
  RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)

sassafrasknot_tests(sassafrasknot_test_platform_test
  "${platform_dir}/platform_client_test.cpp;${platform_dir}/platform_store_test.cpp"
  sassafrasknot_test_platform_lib)
