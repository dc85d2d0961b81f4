# Control cores on virtual time: their tests, measure-dissemination and
# benchmark-snapshot.
set(control_dir ${PROJECT_SOURCE_DIR}/testing/control)
add_library(sassafrasknot_control_fleet STATIC
  ${control_dir}/control_fleet.cpp ${control_dir}/encoded_size.cpp)
target_include_directories(sassafrasknot_control_fleet PUBLIC
  ${PROJECT_SOURCE_DIR}/testing ${PROJECT_SOURCE_DIR}/src)
target_compile_options(sassafrasknot_control_fleet PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(sassafrasknot_control_fleet PUBLIC sassafrasknot_coordination)

sassafrasknot_tests(sassafrasknot_control_fleet_test
  "${control_dir}/control_core_test.cpp;${control_dir}/partition_test.cpp"
  sassafrasknot_control_fleet)

add_executable(measure-dissemination ${PROJECT_SOURCE_DIR}/testing/measure/dissemination.cpp)
target_compile_options(measure-dissemination PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(measure-dissemination PRIVATE
  sassafrasknot_control_fleet PkgConfig::POPT)

add_executable(benchmark-snapshot ${PROJECT_SOURCE_DIR}/testing/measure/snapshot.cpp)
target_compile_options(benchmark-snapshot PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(benchmark-snapshot PRIVATE
  sassafrasknot_control_fleet benchmark::benchmark)
