# measure-core: processor time and memory per flow of one traffic core.
add_executable(measure-core ${CMAKE_CURRENT_LIST_DIR}/core.cpp)
target_compile_options(measure-core PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(measure-core PRIVATE sassafrasknot_coordination PkgConfig::POPT)
