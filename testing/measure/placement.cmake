# measure-placement: compares placement policies on virtual time.
# shard-benchmark: processor time of a shard's decisions.
set(measure_dir ${PROJECT_SOURCE_DIR}/testing/measure)
add_executable(measure-placement
  ${measure_dir}/placement.cpp ${measure_dir}/report.cpp
  ${measure_dir}/scenarios.cpp ${measure_dir}/simulation.cpp
  ${measure_dir}/simulation_policies.cpp ${measure_dir}/simulation_steps.cpp)
target_compile_options(measure-placement PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(measure-placement PRIVATE sassafrasknot::coordination PkgConfig::POPT Threads::Threads)

add_executable(shard-benchmark ${measure_dir}/shard_benchmark.cpp)
target_compile_options(shard-benchmark PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(shard-benchmark PRIVATE sassafrasknot::coordination benchmark::benchmark)
